/*
 * A stand-in backend server of the operators' platform: announces itself to
 * control VMs, answers callers' requests whole or as a stream, and takes the
 * reports and orders that the platform's API would.
 */
#include <argp.h>
#include <errno.h>
#include <ev.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/alloc.h"
#include "base/bytes.h"
#include "base/cleanup.h"
#include "base/list.h"
#include "daemon/edge.h"
#include "daemon/disk/file.h"
#include "daemon/http/http_client.h"
#include "daemon/http/http_server.h"
#include "fakes/endless.h"
#include "platform/names.h"

#define CONTROLS_MOST 8
#define BEAT_S 0.4

struct stand_in;

/* A stream that is being written. */
struct stream_out {
	struct list node;
	struct stand_in *server;
	struct http_exchange *exchange;
	ev_timer timer;
	int next;
};

struct stand_in {
	const char *listen;
	const char *publish;
	const char *id;
	const char *service;
	const char *zone;
	const char *record; /* file for reports and orders */
	const char *controls[CONTROLS_MOST];
	int n_controls;
	int events;   /* of a stream */
	double gap_s; /* between them */
	int cut_at;   /* break a stream off in this event, 0 for never */
	bool unsigned_answers;
	bool unframed;	  /* neither a length nor chunks */
	int end_at;	  /* end each stream before this event, 0 for never */
	int reset_at;	  /* reset its connection there */
	const char *asks; /* seconds to be left alone, as it is told to */
	bool asking;
	bool says_leaving;   /* in its answers */
	const char *endless; /* its answers never end, in that way; or NULL */
	struct endless *writer;
	const char *limit;   /* requests a second that it takes, or NULL */
	const char *version; /* of its software, named in events; or NULL */
	struct ev_loop *ev;
	struct stream_loop loop;
	struct http_server *http;
	struct http_client *client;
	struct list streams;
	ev_timer beat;
	ev_signal stop;
	ev_signal ask;
	ev_signal leave;
	int64_t born_ms;
	int64_t sequence;
	int64_t ran;
	int64_t turned_away;
	bool leaving;
	char *address;
};

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "where to listen", 0 },
	{ "publish", 'p', "FILE", 0, "write the bound address there", 0 },
	{ "id", 'i', "ID", 0, "this start's name", 0 },
	{ "service", 's', "NAME", 0, "whose server this is", 0 },
	{ "zone", 'z', "ZONE", 0, "availability zone", 0 },
	{ "control", 'c', "IP:PORT", 0, "a control VM to announce to", 0 },
	{ "record", 'r', "FILE", 0, "append reports and orders there", 0 },
	{ "events", 'e', "N", 0, "of a stream", 0 },
	{ "gap-ms", 'g', "MS", 0, "between two events", 0 },
	{ "cut-at", 'x', "N", 0, "break each stream off in this event", 0 },
	{ "unsigned", 'u', NULL, 0, "answers without a signature", 0 },
	{ "unframed", 'f', NULL, 0, "answers without a length or chunks", 0 },
	{ "end-at", 'a', "N", 0, "end each stream before this event", 0 },
	{ "reset-at", 'R', "N", 0, "reset its connection there", 0 },
	{ "software", 'v', "VERSION", 0, "its version, named in each event",
	  0 },
	{ "asks", 'A', "SECONDS", 0,
	  "on SIGUSR1, turn all away and ask for that time, or stop it", 0 },
	{ "endless", 'E', "WAY", 0, "answer without end", 0 },
	{ "limit", 'm', "PER_S", 0, "names that limit in its answers", 0 },
	{ 0 }
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct stand_in *server = state->input;

	switch (key) {
	case 'l':
		server->listen = arg;
		return 0;
	case 'p':
		server->publish = arg;
		return 0;
	case 'i':
		server->id = arg;
		return 0;
	case 's':
		server->service = arg;
		return 0;
	case 'z':
		server->zone = arg;
		return 0;
	case 'c':
		if (server->n_controls == CONTROLS_MOST)
			argp_error(state, "too many control VMs");
		server->controls[server->n_controls++] = arg;
		return 0;
	case 'r':
		server->record = arg;
		return 0;
	case 'e':
		server->events = atoi(arg);
		return 0;
	case 'g':
		server->gap_s = atof(arg) / 1000;
		return 0;
	case 'x':
		server->cut_at = atoi(arg);
		return 0;
	case 'u':
		server->unsigned_answers = true;
		return 0;
	case 'f':
		server->unframed = true;
		return 0;
	case 'a':
		server->end_at = atoi(arg);
		return 0;
	case 'R':
		server->reset_at = atoi(arg);
		return 0;
	case 'm':
		server->limit = arg;
		return 0;
	case 'A':
		server->asks = arg;
		return 0;
	case 'E':
		server->endless = arg;
		return 0;
	case 'v':
		server->version = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = { options,
				    parse,
				    NULL,
				    "A stand-in backend server of the "
				    "operators' platform.",
				    NULL,
				    NULL,
				    NULL };

static char *answer_headers(const struct stand_in *server,
			    const struct http_head *head)
{
	const char *id = http_head_get(head, HEADER_REQUEST_ID);
	const char *key = http_head_get(head, "Authorization");
	const char *organisation = http_head_get(head, HEADER_ORGANISATION);

	return xstrfmt(
		"%s: %s\r\n%s%s%s%s: 0,0,8\r\n%s%s%sX-Organisation: %s\r\n"
		"X-Key-Seen: %s\r\n",
		HEADER_REQUEST_ID, id ? id : "",
		server->unsigned_answers ? "" : HEADER_SIGNATURE,
		server->unsigned_answers ? "" : ": signed\r\n",
		server->says_leaving ? HEADER_LEAVING ": 1\r\n" : "",
		HEADER_LOAD, server->limit ? HEADER_LIMIT ": " : "",
		server->limit ? server->limit : "", server->limit ? "\r\n" : "",
		organisation ? organisation : "none", key ? "yes" : "no");
}

static void stream_end(struct stream_out *stream)
{
	ev_timer_stop(stream->server->ev, &stream->timer);
	list_remove(&stream->node);
	free(stream);
}

static void on_event(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct stream_out *stream = timer->data;
	const struct stand_in *server = stream->server;
	char text[64];
	int len;

	if (stream->next > server->events || stream->next == server->end_at) {
		http_exchange_end(stream->exchange);
		stream_end(stream);
		return;
	}
	len = snprintf(text, sizeof(text), "id: %d\ndata: piece %d%s%s\n\n",
		       stream->next, stream->next,
		       server->version ? " of " : "",
		       server->version ? server->version : "");
	if (stream->next == server->reset_at) {
		http_exchange_cut(stream->exchange);
		stream_end(stream);
		return;
	}
	if (stream->next == server->cut_at) {
		http_exchange_piece(stream->exchange, text, (size_t)len / 2);
		if (server->unframed)
			http_exchange_end(stream->exchange);
		else
			http_exchange_cut(stream->exchange);
		stream_end(stream);
		return;
	}
	http_exchange_piece(stream->exchange, text, (size_t)len);
	stream->next++;
}

static void start_stream(struct stand_in *server,
			 struct http_exchange *exchange)
{
	const struct http_head *head = http_exchange_head(exchange);
	const char *last = http_head_get(head, "Last-Event-Id");
	struct stream_out *stream = xcalloc(1, sizeof(*stream));
	char *headers = answer_headers(server, head);

	stream->server = server;
	stream->exchange = exchange;
	stream->next = last ? atoi(last) + 1 : 1;
	list_append(&server->streams, &stream->node);
	http_exchange_set_user(exchange, stream);
	http_exchange_begin(exchange, 200, headers);
	free(headers);
	ev_timer_init(&stream->timer, on_event, server->gap_s, server->gap_s);
	stream->timer.data = stream;
	ev_timer_start(server->ev, &stream->timer);
}

/* A report or an order: kept as a line, with its head's number and giver. */
static void record(struct stand_in *server, struct http_exchange *exchange)
{
	const struct http_head *head = http_exchange_head(exchange);
	const struct bytes *body = http_exchange_body(exchange);
	FILE *file = server->record ? fopen(server->record, "ae") : NULL;

	if (file) {
		fprintf(file, "%s %s %s %.*s\n", head->target,
			http_head_get(head, HEADER_GIVER),
			http_head_get(head, HEADER_FENCE), (int)body->len,
			body->data ? body->data : "");
		fclose(file);
	}
	http_exchange_answer(exchange, 200, NULL, NULL);
}

static void answer_whole(struct stand_in *server,
			 struct http_exchange *exchange)
{
	char *headers = answer_headers(server, http_exchange_head(exchange));
	struct bytes body = { 0 };

	bytes_append_format(&body, "%s %s\n", server->id,
			    http_exchange_head(exchange)->target);
	http_exchange_answer(exchange, 200, headers, &body);
	bytes_clear(&body);
	free(headers);
}

static void turn_away(struct stand_in *server, struct http_exchange *exchange)
{
	const struct http_head *head = http_exchange_head(exchange);
	const char *id = http_head_get(head, HEADER_REQUEST_ID);
	char *headers = xstrfmt("%s: %s\r\n%s: 1\r\n%s: %s\r\n",
				HEADER_REQUEST_ID, id ? id : "", HEADER_NOT_RUN,
				HEADER_RETRY_AFTER, server->asks);

	server->turned_away++;
	http_exchange_answer(exchange, 503, headers, NULL);
	free(headers);
}

static void answer_count(struct stand_in *server,
			 struct http_exchange *exchange)
{
	struct bytes body = { 0 };

	bytes_append_format(&body, "%" PRId64 " %" PRId64 "\n", server->ran,
			    server->turned_away);
	http_exchange_answer(exchange, 200, NULL, &body);
	bytes_clear(&body);
}

/* What is asked for in place of the rest: a status, and a type or "-". */
static void refuse_resumed(struct stand_in *server,
			   struct http_exchange *exchange)
{
	const struct http_head *head = http_exchange_head(exchange);
	cleanup(free_ptr) char *own = answer_headers(server, head);
	cleanup(free_ptr) char *headers = NULL;
	char type[32];
	struct bytes body = { 0 };
	int status;

	if (sscanf(http_head_get(head, "Stand-In-Resumed"), "%d %31s", &status,
		   type) != 2)
		abort();
	headers = strcmp(type, "-") != 0
			  ? xstrfmt("%sContent-Type: %s\r\n", own, type)
			  : xstrdup(own);
	bytes_append_text(&body, "refused\n\n");
	http_exchange_answer(exchange, status, headers, &body);
	bytes_clear(&body);
}

static void on_request(void *data, struct http_exchange *exchange)
{
	struct stand_in *server = data;
	const struct http_head *head = http_exchange_head(exchange);
	const char *meant = http_head_get(head, HEADER_SERVER_START);

	if (!strcmp(head->target, "/count")) {
		answer_count(server, exchange);
	} else if (!strcmp(head->target, "/usage") ||
		   !strcmp(head->target, "/scale")) {
		record(server, exchange);
	} else if (meant && strcmp(meant, server->id) != 0) {
		http_exchange_answer(exchange, 421, NULL, NULL);
	} else if (server->asking) {
		turn_away(server, exchange);
	} else if (http_head_get(head, "Last-Event-Id") &&
		   http_head_get(head, "Stand-In-Resumed")) {
		refuse_resumed(server, exchange);
	} else {
		server->ran++;
		if (server->unframed)
			http_exchange_unframe(exchange);
		if (strstr(head->target, "/stream/"))
			start_stream(server, exchange);
		else
			answer_whole(server, exchange);
	}
}

static void on_left(void *data, struct http_exchange *exchange)
{
	struct stream_out *stream = http_exchange_user(exchange);

	if (stream)
		stream_end(stream);
}

static void on_beat_head(void *data, const struct http_head *head)
{
}

static void on_beat_end(void *data, enum result code, bool sent)
{
}

static const struct http_call_hooks beat_hooks = { on_beat_head, NULL,
						   on_beat_end };

/* To one control VM after another, as each VM's call may be lost. */
static void on_beat(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct stand_in *server = timer->data;
	struct http_call_request request = { 0 };
	struct bytes text = { 0 };
	cleanup(free_ptr) char *body = NULL;

	if (!server->n_controls)
		return;
	server->sequence++;
	body = xstrfmt("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		       "\"version\":\"%s\",\"slots\":8,\"state\":\"%s\","
		       "\"sequence\":%" PRId64 ",\"born\":%" PRId64 "}",
		       server->service, server->address, server->zone,
		       server->version ? server->version : "v1",
		       server->leaving ? "draining" : "ready", server->sequence,
		       server->born_ms);
	bytes_append_format(
		&text,
		"PUT %s%s HTTP/1.1\r\nHost: c\r\n"
		"Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		PATH_SERVERS, server->id, strlen(body), body);
	request.address =
		server->controls[server->sequence % server->n_controls];
	request.head = &text;
	request.timeout_ms = 1000;
	http_call_start(server->client, &request, &beat_hooks, server);
	bytes_clear(&text);
}

/* Once: it says that it leaves and works on. Twice: it ends. */
static void on_stop(struct ev_loop *ev, ev_signal *signal, int events)
{
	struct stand_in *server = signal->data;

	if (server->leaving || !server->n_controls)
		ev_break(ev, EVBREAK_ALL);
	server->leaving = true;
}

static void on_ask(struct ev_loop *ev, ev_signal *signal, int events)
{
	struct stand_in *server = signal->data;

	server->asking = server->asks && !server->asking;
}

static void on_say_leaving(struct ev_loop *ev, ev_signal *signal, int events)
{
	struct stand_in *server = signal->data;

	server->says_leaving = true;
}

/* Where it listens; 0 if it can't. */
static int open_listener(struct stand_in *server,
			 const struct error_handler *handler)
{
	struct http_limits limits = { 65536, 8388608, 5000, 15000 };
	struct http_server_hooks hooks = { on_request, on_left, server };
	struct endless_options endless = { server->listen, server->endless,
					   server->gap_s, server->record };

	if (server->endless) {
		server->writer = endless_start(&server->loop, &endless);
		return server->writer ? endless_port(server->writer) : 0;
	}
	server->http = http_server_start(&server->loop, server->listen, &limits,
					 &hooks, handler);
	return server->http ? http_server_port(server->http) : 0;
}

static void on_signal(struct stand_in *server, ev_signal *watcher, int number,
		      void (*told)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(watcher, told, number);
	watcher->data = server;
	ev_signal_start(server->ev, watcher);
}

static void report(void *data, enum result code, const char *message)
{
	fprintf(stderr, "fake-native: %s\n", message);
}

static bool start(struct stand_in *server)
{
	struct error_handler handler = { report, NULL };
	struct http_client_options client = { NULL, 500, 2000, 0 };
	bool published = true;
	char *text;
	int port;

	server->born_ms = edge_wall_us() / 1000;
	server->ev = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOTIMERFD);
	stream_loop_init(&server->loop, server->ev);
	server->client = http_client_new(&server->loop, &client);
	port = open_listener(server, &handler);
	if (!port)
		return false;
	server->address = xstrfmt("%.*s:%d", (int)strcspn(server->listen, ":"),
				  server->listen, port);
	if (server->publish) {
		text = xstrfmt("address: %s\n", server->address);
		published = !file_publish(server->publish, text, &handler);
		free(text);
	}
	ev_timer_init(&server->beat, on_beat, 0, BEAT_S);
	server->beat.data = server;
	ev_timer_start(server->ev, &server->beat);
	on_signal(server, &server->stop, SIGTERM, on_stop);
	on_signal(server, &server->ask, SIGUSR1, on_ask);
	on_signal(server, &server->leave, SIGUSR2, on_say_leaving);
	return published;
}

int main(int argc, char **argv)
{
	struct stand_in server = { .listen = "127.0.0.1:0",
				   .id = "s1",
				   .service = "desk",
				   .zone = "z1",
				   .events = 5,
				   .gap_s = 0.01 };

	list_init(&server.streams);
	argp_parse(&parser, argc, argv, 0, NULL, &server);
	signal(SIGPIPE, SIG_IGN);
	if (!start(&server))
		return EXIT_FAILURE;
	ev_run(server.ev, 0);
	if (server.http)
		http_server_stop(server.http);
	endless_stop(server.writer);
	http_client_free(server.client);
	return EXIT_SUCCESS;
}
