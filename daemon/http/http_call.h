#ifndef FILBERTHALL_DAEMON_HTTP_CALL_H
#define FILBERTHALL_DAEMON_HTTP_CALL_H

#include <microhttpd.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "daemon/http/caller_watch.h"
#include "daemon/http/http_in.h"
#include "daemon/view.h"

/** Shared by the files of the listeners only. */

struct http_listener {
	struct http_in *in;
	enum http_door door;
	struct MHD_Daemon *daemon;
	int port;
};

struct http_in {
	struct http_in_options options; /**< with texts of its own */
	struct http_listener listeners[HTTP_DOORS];
	struct caller_watch *watch;
	struct view_slot view;
	atomic_bool stopping; /**< connections are closed at once */
	pthread_mutex_t lock;
	pthread_cond_t drained;
	int n_calls; /**< that the core knows of and that aren't over */
};

/** One request while the HTTP library has it. */
struct http_call {
	struct http_in *in;
	enum http_door door;
	struct MHD_Connection *connection;
	char *raw_target; /**< path and query as on the request line */
	const char *method;
	const char *path; /**< decoded, without the query */
	bool started;	  /**< the headers have been looked at */
	bool too_large;
	bool no_memory; /**< for its body */
	bool answered;	/**< a response is queued */
	struct bytes body;
	struct memory_claim claim; /**< of the body */
	struct exchange *exchange; /**< once the core knows of it */
};

/** One piece of advice on how to answer: a header, ended by a NULL name. */
struct http_header {
	const char *name;
	const char *value;
};

/** Answer with a body that is copied. */
enum MHD_Result http_reply(struct http_call *call, int status, const char *type,
			   const void *body, size_t len,
			   const struct http_header *headers);

/** Refuse at the edge: nothing has run. */
enum MHD_Result http_refuse(struct http_call *call, enum result code,
			    const char *message);

/** A request header, or NULL. */
const char *http_request_header(struct http_call *call, const char *name);

/** The bearer key's hash as text to be freed, or NULL if there's no key. */
char *http_bearer_hash(struct http_call *call);

/**
 * Hand a request to the core: the exchange, which is taken over, goes into
 * the table, the event is posted and the connection sleeps until the answer.
 */
enum MHD_Result http_await(struct http_call *call, struct exchange *exchange,
			   struct event *event);

/** A call that the core knew of is over. */
void http_call_over(struct http_in *in);

/** Answer from the exchange if it has something, else sleep again. */
enum MHD_Result http_continue(struct http_call *call);

/** A handler that collects the last message of an error. */
struct http_message {
	struct error_handler handler;
	char *text;
};

void http_message_init(struct http_message *message);
void http_message_clear(struct http_message *message);

/** What each listener does with a request that has been read whole. */
enum MHD_Result http_caller_serve(struct http_call *call);
enum MHD_Result http_backend_serve(struct http_call *call);
enum MHD_Result http_operator_serve(struct http_call *call);

#endif
