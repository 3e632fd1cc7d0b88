#ifndef FILBERTHALL_BASE_RESULT_H
#define FILBERTHALL_BASE_RESULT_H

/**
 * Numbered result codes. The table below is the only list of them;
 * docs/RESULT-CODES.md is checked against it by a test.
 *
 * Columns: number, name, HTTP status, text for people.
 */
#define RESULT_TABLE(X)                                                       \
	X(0, OK, 200, "ok")                                                   \
	X(101, BAD_REQUEST, 400, "the request can't be read")                 \
	X(102, TOO_LARGE, 413, "the request is larger than allowed")          \
	X(103, NO_ROUTE, 404, "no such path or service")                      \
	X(104, NO_MODEL, 404, "no such model")                                \
	X(105, NEEDS_IDEMPOTENCY_KEY, 400, "this call needs Idempotency-Key") \
	X(106, KEY_REUSED, 422, "Idempotency-Key used for another body")      \
	X(107, CALLER_TIMEOUT, 408, "the caller was too slow")                \
	X(201, NO_KEY, 401, "no key was given")                               \
	X(202, KEY_UNKNOWN, 401, "the key is unknown or withdrawn")           \
	X(203, CLASS_FORBIDDEN, 403, "the key doesn't permit this class")     \
	X(204, MODEL_FORBIDDEN, 403, "the key doesn't permit this model")     \
	X(205, SERVICE_FORBIDDEN, 403, "the key doesn't permit this service") \
	X(206, PATH_FORBIDDEN, 403, "the key doesn't reach this subtree")     \
	X(207, KEY_WITHDRAWN, 401, "the key was withdrawn meanwhile")         \
	X(301, LIMIT_CONCURRENT, 429, "too many requests at once")            \
	X(302, LIMIT_REQUESTS, 429, "too many requests a minute")             \
	X(303, LIMIT_TOKENS, 429, "too many tokens a minute")                 \
	X(401, QUEUE_FULL, 503, "the queue of this class is full")            \
	X(402, DEADLINE_UNREACHABLE, 503, "the deadline can't be met")        \
	X(403, EXPIRED, 504, "the deadline passed while waiting")             \
	X(404, NO_CAPACITY, 503, "no backend server can take this now")       \
	X(405, PREEMPTED, 503, "given up for a higher tier")                  \
	X(406, POISON, 422, "this request crashed backend servers")           \
	X(407, STOPPING, 503, "this VM is stopping")                          \
	X(408, STALE, 503, "this VM is cut off from the others")              \
	X(409, VERSION_GONE, 503, "no server has the stream's version")       \
	X(410, STREAM_UNKNOWN, 503, "it isn't known where the stream began")  \
	X(411, NO_DESCRIPTOR, 503, "this VM has no descriptor free")          \
	X(412, NO_MEMORY, 503, "this VM has no memory free")                  \
	X(501, BACKEND_CONNECT, 502, "the backend server can't be reached")   \
	X(502, BACKEND_TIMEOUT, 504, "the backend server was too slow")       \
	X(503, BACKEND_BROKE, 502, "the backend server broke off")            \
	X(504, BACKEND_CROSSED, 502, "the answer was for another request")    \
	X(505, BACKEND_ERROR, 502, "the backend server reported an error")    \
	X(506, CALLER_LEFT, 499, "the caller left")                           \
	X(507, RETRY_BUDGET, 502, "failed, and the retry budget is spent")    \
	X(601, NOT_LEADER, 503, "this VM is not the leader")                  \
	X(602, NO_QUORUM, 503, "no quorum can be reached")                    \
	X(603, CONFLICT, 409, "changed meanwhile by someone else")            \
	X(604, CLAIM_RUNNING, 409, "the same request is running")             \
	X(605, CLAIM_UNKNOWN, 502, "whether the request ran is unknown")      \
	X(606, CLAIM_FULL, 503, "no room for further claims")                 \
	X(607, MEMBER_BUSY, 409, "another membership change is running")      \
	X(608, NOT_CAUGHT_UP, 409, "the new voter hasn't caught up")          \
	X(609, LEASE_LOST, 409, "no longer in charge")                        \
	X(610, NOT_FOUND, 404, "no such entry")                               \
	X(611, CLAIM_DONE, 200, "it ran before; this is its answer")          \
	X(612, CLAIM_ANSWER_GONE, 410, "it ran; its answer wasn't kept")      \
	X(701, SETTING_UNKNOWN, 422, "unknown setting")                       \
	X(702, SETTING_VALUE, 422, "value not allowed")                       \
	X(703, SETTING_SYNTAX, 422, "not valid YAML")                         \
	X(801, DISK_FAILED, 500, "the disk failed")                           \
	X(802, DISK_FULL, 507, "the disk is full")                            \
	X(803, LOG_DAMAGED, 500, "the log is damaged")                        \
	X(804, FOLDER_IN_USE, 500, "the data folder is in use")               \
	X(901, MESSAGE_MALFORMED, 400, "a message can't be read")             \
	X(902, VERSION_MISMATCH, 400, "the peer speaks another version")      \
	X(903, IDENTITY_REFUSED, 403, "the peer isn't who it should be")      \
	X(904, PLATFORM_REFUSED, 502, "the platform refused the order")       \
	X(905, PLATFORM_UNKNOWN, 502, "the platform's answer was lost")

enum result {
#define RESULT_ENUM(number, name, http, text) RESULT_##name = (number),
	RESULT_TABLE(RESULT_ENUM)
#undef RESULT_ENUM
};

/** What is known of whether a request ran on a backend server. */
enum run_state {
	RUN_NOT,     /**< no byte went to a backend server */
	RUN_UNKNOWN, /**< bytes went out, no whole answer came back */
	RUN_RAN	     /**< it ran */
};

/** The name as in the table, such as "QUEUE_FULL". */
const char *result_name(enum result code);

/** The text for people. */
const char *result_text(enum result code);

/** The HTTP status that goes with a code. */
int result_http_status(enum result code);

/** Value of the header Filberthall-Run: "not-run", "unknown" or "ran". */
const char *run_state_name(enum run_state run);

#endif
