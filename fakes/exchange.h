#ifndef FAKES_EXCHANGE_H
#define FAKES_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/bytes.h"
#include "base/list.h"

/** A request to a stand-in and its answer, which may come later. */

struct MHD_Connection;
struct server;
struct server_connection;

/** The exchange is over; `whole` if all of the answer was handed over. */
typedef void (*exchange_over_fn)(void *data, bool whole);

struct exchange_header {
	struct list node;
	char *name;
	char *value;
};

/** One request and its answer. */
struct exchange {
	struct list node;
	struct server *server;
	struct server_connection *connection;
	struct MHD_Connection *mhd;
	struct list headers; /**< struct exchange_header, of the answer */
	char *method;
	char *path; /**< with the query, if any */
	struct bytes body;
	struct bytes out; /**< of the answer, not yet taken */
	int status;
	bool handled;
	bool queued; /**< the answer was handed to libmicrohttpd */
	bool streaming;
	bool ended;   /**< nothing more will be written */
	bool aborted; /**< break the connection off */
	bool suspended;
	exchange_over_fn over;
	void *over_data;
};

/** A request header's value, or NULL. */
const char *exchange_header(const struct exchange *exchange, const char *name);

/** Set an answer header; before the answer or the stream begins. */
void exchange_set_header(struct exchange *exchange, const char *name,
			 const char *value);

/** Answer whole. */
void exchange_answer(struct exchange *exchange, int status, const char *type,
		     const void *body, size_t len);

/** Answer with JSON text. */
void exchange_answer_json(struct exchange *exchange, int status,
			  const char *json);

/** Take a whole answer back before it was handed over. */
void exchange_forget_answer(struct exchange *exchange);

/** Begin a streamed answer. */
void exchange_begin(struct exchange *exchange, int status, const char *type);

/** Send more of a streamed answer. */
void exchange_write(struct exchange *exchange, const void *data, size_t len);

/** End a streamed answer whole. */
void exchange_end(struct exchange *exchange);

/** Break the connection off. */
void exchange_abort(struct exchange *exchange);

/** Ask to be told once when the exchange is over, NULL for no more. */
void exchange_on_over(struct exchange *exchange, exchange_over_fn over,
		      void *data);

/** For the server: a new exchange on a connection. */
struct exchange *exchange_new(struct server *server,
			      struct server_connection *connection,
			      struct MHD_Connection *mhd, const char *path);

/** For the server: it is over; tell whoever asked, and free it. */
void exchange_finish(struct exchange *exchange, bool whole);

/** For the server: the other end hung up. */
void exchange_hang_up(struct exchange *exchange);

/** For the server: hand the answer over, or wait for it. False: close. */
bool exchange_proceed(struct exchange *exchange);

#endif
