/* Calls of operators and backend servers at a control VM. */
#include <inttypes.h>
#include <stdlib.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/descriptors.h"
#include "daemon/role/control_daemon_state.h"

/* Bounds of a call: a document of some thousand routes is a megabyte. */
#define CALL_HEADER_BYTES 16384
#define CALL_BODY_BYTES (4 * 1024 * 1024)
#define CALL_HEADER_MS 10000
#define CALL_IDLE_MS 15000

/*
 * Bytes of memory for each one of a call's body: the text, what is read of it,
 * and its copies on the way into the log.
 */
#define CALL_WEIGHT 6

/* An operator's call that waits for the reducer. */
struct open_call {
	struct list node;
	uint64_t id;
	struct http_exchange *exchange; /* NULL once its caller has left */
	struct http_body body; /* of a document; its bytes are the reader's */
};

static void call_free(struct open_call *call)
{
	list_remove(&call->node);
	http_body_clear(&call->body);
	free(call);
}

static struct open_call *call_find(struct control_daemon *daemon, uint64_t id)
{
	struct open_call *call;

	list_foreach(call, &daemon->calls, node)
		if (call->id == id)
			return call;
	return NULL;
}

static void answer(struct http_exchange *exchange, enum result code,
		   const char *headers, const struct bytes *body)
{
	http_exchange_answer(exchange, result_http_status(code), headers, body);
}

/* Send the operator to the leader: its IP, and the port that we listen on. */
static void answer_elsewhere(struct control_daemon *daemon,
			     struct http_exchange *exchange,
			     const struct bytes *address)
{
	const struct http_head *head = http_exchange_head(exchange);
	cleanup(free_ptr) char *location = NULL;
	cleanup(free_ptr) char *leader =
		xmemdup(address->data ? address->data : "", address->len);
	char ip[64];
	int port;

	if (!boot_split_address(leader, ip, &port)) {
		answer(exchange, RESULT_NOT_LEADER, NULL, NULL);
		return;
	}
	location = xstrfmt("Location: http://%s:%d%s\r\n", ip,
			   http_server_port(daemon->server), head->target);
	http_exchange_answer(exchange, 307, location, NULL);
}

void control_calls_answer(struct control_daemon *daemon,
			  const struct effect_admin_answer *told)
{
	struct open_call *call = call_find(daemon, told->id);

	if (!call)
		return;
	if (call->exchange && told->code == RESULT_NOT_LEADER)
		answer_elsewhere(daemon, call->exchange, &told->body);
	else if (call->exchange)
		answer(call->exchange, (enum result)told->code,
		       told->body.len ? "Content-Type: application/json\r\n"
				      : NULL,
		       &told->body);
	call_free(call);
}

static struct open_call *call_new(struct control_daemon *daemon,
				  struct http_exchange *exchange)
{
	struct open_call *call = xcalloc(1, sizeof(*call));

	call->id = ++daemon->next_call;
	call->exchange = exchange;
	http_exchange_set_user(exchange, call);
	list_append(&daemon->calls, &call->node);
	return call;
}

/* Keeps the words of a refusal for the answer and the log. */
static void keep_message(void *data, enum result code, const char *message)
{
	bytes_append_text(data, message);
}

/* On the reader's thread. */
static void read_document(void *data, struct reading *reading)
{
	const struct control_daemon *daemon = data;
	struct error_handler handler = { keep_message, &reading->message };

	reading->document =
		daemon->role.dialect->read_document(reading->text.data,
						    reading->text.len,
						    &handler);
}

static void refuse_invalid(struct control_daemon *daemon,
			   struct reading *reading)
{
	struct open_call *call = call_find(daemon, reading->call);

	log_line(daemon->role.log, LOG_WARN, "document",
		 "event=invalid call=%" PRIu64 " bytes=%zu reason=%s",
		 reading->call, reading->text.len,
		 bytes_text(&reading->message));
	if (!call)
		return;
	if (call->exchange)
		http_exchange_answer(call->exchange, 400, NULL,
				     &reading->message);
	call_free(call);
}

static void refuse_read(struct control_daemon *daemon, uint64_t id)
{
	struct effect_admin_answer told = { .id = id,
					    .code = RESULT_NO_QUORUM };

	log_line(daemon->role.log, LOG_WARN, "document",
		 "event=refused what=change call=%" PRIu64
		 " reason=disk-failed",
		 id);
	control_calls_answer(daemon, &told);
}

static void version_read(struct control_daemon *daemon, struct reading *reading)
{
	if (!reading->document)
		log_line(daemon->role.log, LOG_ERROR, "document",
			 "event=unreadable version=%" PRId64 " reason=%s",
			 reading->version, bytes_text(&reading->message));
	if (!daemon->control)
		return;
	control_document_read(daemon->control, reading->version,
			      reading->document, edge_now_us(),
			      &daemon->effects);
	reading->document = NULL;
	control_daemon_carry_out(daemon);
}

static void document_read(void *data, struct reading *reading)
{
	struct control_daemon *daemon = data;
	struct document *document = reading->document;

	if (reading->version) {
		version_read(daemon, reading);
		return;
	}
	if (!document) {
		refuse_invalid(daemon, reading);
		return;
	}
	if (!daemon->control || daemon->disk_failed) {
		refuse_read(daemon, reading->call);
		return;
	}
	reading->document = NULL;
	control_put_document(daemon->control, reading->call, document,
			     &reading->text, edge_now_us(), &daemon->effects);
	control_daemon_carry_out(daemon);
}

static void put_document(struct control_daemon *daemon,
			 struct http_exchange *exchange)
{
	struct open_call *call = call_new(daemon, exchange);

	http_exchange_take_body(exchange, &call->body);
	reader_put(daemon->reader, call->id, &call->body.bytes);
}

static void get_document(struct control_daemon *daemon,
			 struct http_exchange *exchange)
{
	struct open_call *call = call_new(daemon, exchange);

	control_get_document(daemon->control, call->id, edge_now_us(),
			     &daemon->effects);
}

static void evacuate_zone(struct control_daemon *daemon, const char *zone,
			  bool evacuate, struct http_exchange *exchange)
{
	struct open_call *call = call_new(daemon, exchange);

	control_evacuate(daemon->control, call->id, zone, evacuate,
			 edge_now_us(), &daemon->effects);
}

static void register_server(struct control_daemon *daemon, const char *server,
			    struct http_exchange *exchange)
{
	const struct bytes *body = http_exchange_body(exchange);
	struct bytes message = { 0 };
	struct error_handler handler = { keep_message, &message };
	struct registration told;
	enum result code;

	code = daemon->role.dialect->read_registration(server, body->data,
						       body->len, &told,
						       &handler);
	if (code) {
		log_line(daemon->role.log, LOG_WARN, "server",
			 "event=unreadable server=%s reason=%s", server,
			 bytes_text(&message));
	} else {
		code = control_register(daemon->control, &told, edge_now_us(),
					&daemon->effects);
	}
	/* The entry VMs are told before the server reads that we know. */
	control_daemon_carry_out(daemon);
	answer(exchange, code, NULL, &message);
	bytes_clear(&message);
}

/* Servers announce themselves by the second; only operators' calls are logged. */
static void refuse_without_disk(struct control_daemon *daemon,
				struct http_exchange *exchange,
				enum dialect_call_kind kind)
{
	static const char *const operators[] = {
		[CALL_PUT_DOCUMENT] = "change",
		[CALL_GET_DOCUMENT] = "read",
		[CALL_EVACUATE] = "evacuation",
		[CALL_RETURN_ZONE] = "return",
	};

	if (operators[kind])
		log_line(daemon->role.log, LOG_WARN, "operator",
			 "event=refused what=%s reason=disk-failed",
			 operators[kind]);
	answer(exchange, RESULT_NO_QUORUM, NULL, NULL);
}

static void on_request(void *data, struct http_exchange *exchange)
{
	struct control_daemon *daemon = data;
	struct dialect_call call = { 0 };

	daemon->role.dialect->read_call(http_exchange_head(exchange), &call);
	if (!daemon->control || daemon->disk_failed) {
		refuse_without_disk(daemon, exchange, call.kind);
		return;
	}
	switch (call.kind) {
	case CALL_PUT_DOCUMENT:
		put_document(daemon, exchange);
		break;
	case CALL_GET_DOCUMENT:
		get_document(daemon, exchange);
		break;
	case CALL_REGISTER:
		register_server(daemon, call.server, exchange);
		break;
	case CALL_UNREGISTER:
		control_unregister(daemon->control, call.server, edge_now_us(),
				   &daemon->effects);
		control_daemon_carry_out(daemon);
		answer(exchange, RESULT_OK, NULL, NULL);
		break;
	case CALL_EVACUATE:
	case CALL_RETURN_ZONE:
		evacuate_zone(daemon, call.zone, call.kind == CALL_EVACUATE,
			      exchange);
		break;
	case CALL_UNKNOWN:
		answer(exchange, RESULT_NO_ROUTE, NULL, NULL);
		break;
	}
	control_daemon_carry_out(daemon);
}

static void on_left(void *data, struct http_exchange *exchange)
{
	struct open_call *call = http_exchange_user(exchange);
	struct control_daemon *daemon = data;

	if (!call)
		return;
	log_line(daemon->role.log, LOG_INFO, "document",
		 "event=left call=%" PRIu64, call->id);
	call->exchange = NULL;
}

enum result control_calls_open(struct control_daemon *daemon)
{
	struct http_limits limits = { CALL_HEADER_BYTES, CALL_BODY_BYTES,
				      CALL_HEADER_MS, CALL_IDLE_MS };
	struct http_server_hooks hooks = { on_request, on_left, daemon };

	struct reader_hooks readers = { read_document, document_read, daemon };
	sigset_t before;

	list_init(&daemon->calls);
	role_block_signals(&before);
	daemon->reader = reader_start(daemon->role.ev, &readers);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	if (!daemon->reader)
		return error_report(daemon->role.handler, RESULT_SETTING_VALUE,
				    "the thread that reads documents can't be "
				    "started");
	daemon->server =
		http_server_start(&daemon->role.streams,
				  daemon->role.boot->listen_operators, &limits,
				  &hooks, daemon->role.handler);
	if (!daemon->server)
		return RESULT_SETTING_VALUE;
	http_server_set_most(daemon->server, descriptors_for_requests());
	http_server_set_weight(daemon->server, MEMORY_DOCUMENTS, CALL_WEIGHT);
	watch_add_listener(&daemon->role.watch, "operators", daemon->server);
	return RESULT_OK;
}

void control_calls_close(struct control_daemon *daemon)
{
	struct open_call *call;
	struct open_call *next;

	reader_stop(daemon->reader);
	daemon->reader = NULL;
	if (!daemon->server)
		return;
	http_server_stop(daemon->server);
	list_foreach_safe(call, next, &daemon->calls, node)
		call_free(call);
}
