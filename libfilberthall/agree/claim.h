#ifndef FILBERTHALL_AGREE_CLAIM_H
#define FILBERTHALL_AGREE_CLAIM_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/result.h"

/**
 * Claims of requests that must not run twice. A claim is opened through the log
 * before the request is sent, by the VM that will send it; no other VM ever
 * sends it.
 *
 * Failure handled: a caller gets no answer (its VM crashed, a connection broke)
 * and sends the request again, through any VM; without claims it would run
 * twice. The result of a resend depends on the claim's state:
 *
 *	OPEN	 it hasn't been sent yet; wait or 409
 *	SENT	 it may have been sent; wait or 409
 *	DONE	 it ran; the kept answer, or CLAIM_ANSWER_GONE
 *	UNKNOWN	 its owner is gone and may have sent it; never run again
 *
 * An owner sends only after it has seen SENT committed, and before its send-by
 * time on its own monotonic clock. Opening directly in SENT (`sending`) costs
 * one commit. Opening in OPEN costs a second commit later; in return, if the
 * owner dies while the request is queued, the request may still run.
 *
 * An owner is a member id and an incarnation, which must grow with each start
 * under the same member id. Once the log has declared an incarnation gone, or a
 * later one has followed, its entries have no effect, except that it may still
 * add the answer to a claim of its own: a paused VM that resumes can't send.
 *
 * Limits: a claim is kept for `keep_us` of log time and never removed earlier;
 * when there are `max_claims`, a new one is refused (CLAIM_FULL, not run). Kept
 * answers beyond `max_bytes` are dropped, oldest first; their claims stay. Log
 * time advances by at most CLAIM_TIME_STEP_US per entry, so that one VM with a
 * wrong clock can't expire all claims at once.
 */
#define CLAIM_ID_SIZE 33
#define CLAIM_TIME_STEP_US INT64_C(10000000)

struct claims;

enum claim_state { CLAIM_OPEN, CLAIM_SENT, CLAIM_DONE, CLAIM_UNKNOWN };

struct claim_owner {
	uint64_t member;
	uint64_t incarnation;
};

struct claim_limits {
	int64_t keep_us;
	int64_t max_claims;
	int64_t max_bytes;    /**< all kept answers */
	int64_t answer_bytes; /**< a single kept answer */
};

struct claim {
	char id[CLAIM_ID_SIZE];
	const char *body_hash;
	struct claim_owner owner;
	enum claim_state state;
	int64_t changed_us; /**< log time */
	bool has_answer;    /**< the answer is kept */
	int64_t http_status;
	const char *content_type;
	const char *body;
	size_t body_len;
};

enum claim_verb {
	CLAIM_VERB_OPEN,
	CLAIM_VERB_SENT,    /**< from OPEN to SENT: about to send */
	CLAIM_VERB_DONE,    /**< it ran, with this answer */
	CLAIM_VERB_UNKNOWN, /**< the owner lost the answer */
	CLAIM_VERB_RELEASE  /**< the owner never sent it: delete the claim */
};

/** One operation of a batch. Strings are borrowed; unused fields are zero. */
struct claim_op {
	enum claim_verb verb;
	uint64_t ticket; /**< chosen by the owner, such as a request id */
	char id[CLAIM_ID_SIZE];
	const char *body_hash; /**< hex; for CLAIM_VERB_OPEN */
	bool sending;	       /**< CLAIM_VERB_OPEN opens the claim in SENT */
	int64_t http_status;
	const char *content_type;
	const char *body;
	size_t body_len;
};

/** The result of one operation. */
struct claim_outcome {
	uint64_t ticket;
	enum claim_verb verb;
	char id[CLAIM_ID_SIZE];
	/**
	 * RESULT_OK: done. For CLAIM_VERB_OPEN: RESULT_KEY_REUSED,
	 * RESULT_CLAIM_RUNNING, RESULT_CLAIM_UNKNOWN, RESULT_CLAIM_FULL,
	 * RESULT_CLAIM_DONE (claims_find() has the answer),
	 * RESULT_CLAIM_ANSWER_GONE. For the others: RESULT_CONFLICT if the
	 * claim no longer belongs to this owner, RESULT_NOT_FOUND.
	 */
	enum result code;
};

/**
 * Compute the id of a claim: a hash, as 32 hex digits, of organisation, service
 * and Idempotency-Key (or body hash).
 */
void claim_id(char id[CLAIM_ID_SIZE], const char *organisation,
	      const char *service, const char *idempotency_key);

struct claims *claims_new(void);
void claims_free(struct claims *claims);

/** Change the limits; they apply from the next entry. */
void claims_set_limits(struct claims *claims,
		       const struct claim_limits *limits);

/** Limits without any settings. */
struct claim_limits claims_default_limits(void);

/** The claim with that id, borrowed, or NULL. */
const struct claim *claims_find(const struct claims *claims, const char *id);

/**
 * The result that CLAIM_VERB_OPEN with this id and body hash would give now.
 */
enum result claims_check_open(const struct claims *claims, const char *id,
			      const char *body_hash);

/** Apply one operation at log time `time_us`. */
enum result claims_apply(struct claims *claims, const struct claim_owner *owner,
			 const struct claim_op *op, int64_t time_us);

/**
 * A (member, incarnation) is gone: its OPEN claims are deleted, since nothing
 * was sent; its SENT ones become UNKNOWN. `visit` gets the id of each.
 */
void claims_owner_gone(struct claims *claims, const struct claim_owner *owner,
		       int64_t time_us,
		       void (*visit)(void *data, const char *id), void *data);

/**
 * The latest incarnation of a member that owns an OPEN or SENT claim, 0 if none
 * does.
 */
uint64_t claims_latest_owner(const struct claims *claims, uint64_t member);

/** Delete claims and answers beyond the limits. */
void claims_expire(struct claims *claims, int64_t time_us);

size_t claims_count(const struct claims *claims);
size_t claims_answer_bytes(const struct claims *claims);

/**
 * For a snapshot: everything but the claims as JSON, and the claims as msgpack
 * arrays of at most CLAIMS_CHUNK. As one JSON tree, 100,000 claims would take
 * hundreds of megabytes.
 */
#define CLAIMS_CHUNK 512

json_t *claims_save(const struct claims *claims);
void claims_save_chunks(const struct claims *claims, struct bytes *out);

/** Load the result of claims_save(), then each chunk. */
enum result claims_load(struct claims *claims, const json_t *saved);
enum result claims_load_chunk(struct claims *claims, const json_t *chunk);

#endif
