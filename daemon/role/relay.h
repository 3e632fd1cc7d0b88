#ifndef FILBERTHALL_DAEMON_RELAY_H
#define FILBERTHALL_DAEMON_RELAY_H

#include "daemon/role/dialect.h"
#include "daemon/http/http_client.h"
#include "daemon/http/http_server.h"
#include "daemon/http/sse.h"
#include "entry/entry.h"

/**
 * One caller's request on an entry VM, between its listener and a backend
 * server: sends attempts as the reducer asks for them and passes the answer
 * on.
 *
 * Failures answered:
 * - A server breaks off in the middle of an event, or the stream goes on at
 *   another server: only whole events are passed, so none is torn or twice.
 * - An answer that isn't one (no signature, another body than the server's, a
 *   cut one) must not look like success: it is held until it is whole, and a
 *   stream that broke is cut where the caller sees it.
 * - A stream goes on at a server that may have started again unheard: its
 *   events are held until the server is heard.
 */
struct relay;

/** What relays share and tell. */
struct relay_host {
	const struct dialect *dialect;
	struct http_client *client;
	struct entry *entry;
	struct memory *memory; /**< that answers are claimed of, or NULL */
	/** An attempt's first event. If it has to wait, relay_ask_again(). */
	enum entry_begin (*begins)(void *data, uint64_t id, int64_t attempt);
	void (*tokens)(void *data, const struct event_attempt_tokens *tokens);
	void (*ended)(void *data, const struct event_attempt_ended *ended);
	/** The answer waits for memory: relay_ask_again(). Returns the time. */
	int64_t (*paused)(void *data, uint64_t id);
	/** The caller has had its last word; drops the relay if it is over. */
	void (*left)(void *data, uint64_t id);
	/** What the server says of itself. */
	void (*state)(void *data, const struct entry_server *server,
		      const struct dialect_answer *answer);
	void *data;
};

struct relay *relay_new(const struct relay_host *host,
			struct http_exchange *exchange, uint64_t id);

/** The request as the reducer takes it; text stays the relay's. */
struct entry_request relay_request(struct relay *relay);

uint64_t relay_id(const struct relay *relay);

/** The caller's own id of the request, for logs. */
const char *relay_name(const struct relay *relay);

/** EFFECT_START_ATTEMPT. */
void relay_start(struct relay *relay, const struct effect_start_attempt *start,
		 int64_t now_us);

/** EFFECT_CANCEL_ATTEMPT: the attempt ends, and `ended` is told. */
void relay_cancel(struct relay *relay, int64_t attempt);

/**
 * Asks again whether an answer may begin whose events are held, or may be read
 * on that waits for memory. Nothing if neither does; the relay may be dropped
 * meanwhile.
 */
void relay_ask_again(struct relay *relay, int64_t now_us);

/** EFFECT_ANSWER: the caller gets its last word. */
void relay_answer(struct relay *relay, const struct effect_answer *answer);

/** The caller has gone; nothing of its exchange may be touched any more. */
void relay_caller_left(struct relay *relay);

/** Whether both the caller's answer and all attempts are over. */
bool relay_is_over(const struct relay *relay);

/** Ends what is still under way, without telling. */
void relay_free(struct relay *relay);

#endif
