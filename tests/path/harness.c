#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"

static const char secret[] = "the site's secret";

static void take_event(void *data, struct event *event)
{
	struct harness *harness = data;

	pthread_mutex_lock(&harness->lock);
	list_append(&harness->events, &event->node);
	pthread_cond_broadcast(&harness->more);
	pthread_mutex_unlock(&harness->lock);
}

static void report(void *data, enum result code, const char *message)
{
	g_error("%d %s", code, message);
}

static const struct error_handler must_work = { report, NULL };

void harness_start(struct harness *harness,
		   void (*change)(struct http_in_options *options))
{
	harness_start_with(harness, change, NULL);
}

void harness_start_with(struct harness *harness,
			void (*change)(struct http_in_options *options),
			const char *platform)
{
	struct http_in_options in = {
		.address = { "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0" },
		.header_bytes = 16384,
		.body_bytes = 65536,
		.connections = 100,
		.idle_s = 30,
		.key_secret = secret,
		.key_secret_len = sizeof(secret) - 1,
		.vm = "entry-1",
		.incarnation = 0xabc,
	};
	struct http_out_options out = { .vm = "entry-1",
					.incarnation = 0xabc,
					.platform = platform };

	signal(SIGPIPE, SIG_IGN);
	memset(harness, 0, sizeof(*harness));
	pthread_mutex_init(&harness->lock, NULL);
	pthread_cond_init(&harness->more, NULL);
	list_init(&harness->events);
	harness->sink.post = take_event;
	harness->sink.data = harness;
	exchange_table_init(&harness->exchanges, NULL);
	in.exchanges = out.exchanges = &harness->exchanges;
	in.sink = out.sink = &harness->sink;
	in.counters = out.counters = &harness->counters;
	if (change)
		change(&in);
	harness->in = http_in_start(&in, &must_work);
	harness->out = http_out_start(&out, &must_work);
}

void harness_stop(struct harness *harness)
{
	struct event *event;
	struct event *next;

	http_out_stop(harness->out);
	http_in_stop(harness->in);
	exchange_table_clear(&harness->exchanges);
	list_foreach_safe(event, next, &harness->events, node) {
		list_remove(&event->node);
		event_free(event);
	}
	pthread_cond_destroy(&harness->more);
	pthread_mutex_destroy(&harness->lock);
}

static struct event *find_event(struct harness *harness, enum event_kind kind)
{
	struct event *event;

	list_foreach(event, &harness->events, node)
		if (event->kind == kind)
			return event;
	return NULL;
}

struct event *harness_wait(struct harness *harness, enum event_kind kind)
{
	int64_t until_us = edge_now_us() + HARNESS_WAIT_MS * 1000;
	struct timespec until = { .tv_sec = until_us / 1000000 };
	struct event *event;

	pthread_mutex_lock(&harness->lock);
	while (!(event = find_event(harness, kind)))
		if (pthread_cond_clockwait(&harness->more, &harness->lock,
					   CLOCK_MONOTONIC, &until))
			g_error("no event %s came", event_name(kind));
	list_remove(&event->node);
	pthread_mutex_unlock(&harness->lock);
	return event;
}

bool harness_has(struct harness *harness, enum event_kind kind)
{
	bool found;

	pthread_mutex_lock(&harness->lock);
	found = find_event(harness, kind) != NULL;
	pthread_mutex_unlock(&harness->lock);
	return found;
}

struct effect_start_attempt harness_attempt(uint64_t id, const char *address)
{
	struct effect_start_attempt start = {
		.id = id,
		.attempt = 1,
		.address = (char *)address,
		.trace = "00-0af7651916cd43dd8448eb211c80319c-"
			 "b7ad6b7169203331-01",
		.priority = 2,
		.connect_ms = HARNESS_WAIT_MS,
		.first_byte_ms = HARNESS_WAIT_MS,
		.idle_ms = HARNESS_WAIT_MS,
	};

	return start;
}

void harness_answer(struct harness *harness, uint64_t id, enum result code)
{
	struct effect_answer answer = { .id = id, .code = code };

	http_in_answer(harness->in, &answer);
}

static int dial(int port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct timeval limit = { .tv_sec = HARNESS_WAIT_MS / 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	return fd;
}

int harness_dial(struct harness *harness, enum http_door door)
{
	return dial(http_in_port(harness->in, door));
}

struct served {
	struct stand_in *stand_in;
	int fd;
	int nth;
};

static void *serve_one(void *data)
{
	struct served *served = data;

	served->stand_in->serve(served->stand_in, served->fd, served->nth);
	shutdown(served->fd, SHUT_RDWR);
	g_free(served);
	return NULL;
}

static void *serve_all(void *data)
{
	struct stand_in *stand_in = data;
	struct served *served;
	pthread_t *thread;
	int fd;

	while ((fd = accept(stand_in->listener, NULL, NULL)) >= 0) {
		served = g_new0(struct served, 1);
		served->stand_in = stand_in;
		served->fd = fd;
		served->nth = g_atomic_int_add(&stand_in->connections, 1);
		thread = g_new0(pthread_t, 1);
		pthread_mutex_lock(&stand_in->lock);
		g_ptr_array_add(stand_in->threads, thread);
		g_array_append_val(stand_in->fds, fd);
		pthread_create(thread, NULL, serve_one, served);
		pthread_mutex_unlock(&stand_in->lock);
	}
	return NULL;
}

/* A socket at a free port of loopback; its address goes to `stand_in`. */
static void bind_free_port(struct stand_in *stand_in)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(at);

	stand_in->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(stand_in->listener, (struct sockaddr *)&at, len),
			==, 0);
	getsockname(stand_in->listener, (struct sockaddr *)&at, &len);
	g_snprintf(stand_in->address, sizeof(stand_in->address), "127.0.0.1:%d",
		   ntohs(at.sin_port));
}

void stand_in_refuse(struct stand_in *stand_in)
{
	memset(stand_in, 0, sizeof(*stand_in));
	bind_free_port(stand_in);
}

void stand_in_start(struct stand_in *stand_in,
		    void (*serve)(struct stand_in *, int, int))
{
	memset(stand_in, 0, sizeof(*stand_in));
	stand_in->serve = serve;
	stand_in->threads = g_ptr_array_new_with_free_func(g_free);
	stand_in->fds = g_array_new(FALSE, FALSE, sizeof(int));
	pthread_mutex_init(&stand_in->lock, NULL);
	bind_free_port(stand_in);
	g_assert_cmpint(listen(stand_in->listener, 64), ==, 0);
	pthread_create(&stand_in->thread, NULL, serve_all, stand_in);
}

void stand_in_stop(struct stand_in *stand_in)
{
	guint i;

	shutdown(stand_in->listener, SHUT_RDWR);
	pthread_join(stand_in->thread, NULL);
	close(stand_in->listener);
	for (i = 0; i < stand_in->fds->len; i++)
		shutdown(g_array_index(stand_in->fds, int, i), SHUT_RDWR);
	for (i = 0; i < stand_in->threads->len; i++)
		pthread_join(*(pthread_t *)stand_in->threads->pdata[i], NULL);
	for (i = 0; i < stand_in->fds->len; i++)
		close(g_array_index(stand_in->fds, int, i));
	g_ptr_array_free(stand_in->threads, TRUE);
	g_array_free(stand_in->fds, TRUE);
	pthread_mutex_destroy(&stand_in->lock);
}

void wait_for_count(gint *at, gint value)
{
	int64_t until_us = edge_now_us() + HARNESS_WAIT_MS * 1000;

	while (g_atomic_int_get(at) < value) {
		if (edge_now_us() > until_us)
			g_error("count stays at %d", g_atomic_int_get(at));
		g_usleep(1000);
	}
}

void wait_for_counter(atomic_uint_fast64_t *counter, uint64_t value)
{
	int64_t until_us = edge_now_us() + HARNESS_WAIT_MS * 1000;

	while (atomic_load(counter) < value) {
		if (edge_now_us() > until_us)
			g_error("counter stays at %d",
				(int)atomic_load(counter));
		g_usleep(1000);
	}
}

static bool read_more(int fd, GString *to)
{
	char buffer[4096];
	ssize_t n = read(fd, buffer, sizeof(buffer));

	if (n <= 0)
		return false;
	g_string_append_len(to, buffer, n);
	return true;
}

bool read_until(int fd, GString *all, const char *text)
{
	while (!strstr(all->str, text))
		if (!read_more(fd, all))
			return false;
	return true;
}

void read_all(int fd, GString *all)
{
	while (read_more(fd, all))
		;
}

char *header_value(const GString *head, const char *name)
{
	g_autofree char *lower = g_ascii_strdown(head->str, -1);
	g_autofree char *wanted = g_strdup_printf("\r\n%s: ", name);
	const char *at = strstr(lower, wanted);
	const char *value;

	if (!at)
		return NULL;
	value = head->str + (at - lower) + strlen(wanted);
	return g_strndup(value, strcspn(value, "\r\n"));
}

bool read_request(int fd, GString *head, GString *body)
{
	g_autofree char *length = NULL;
	char *end;
	gsize wanted;

	g_string_truncate(head, 0);
	if (!read_until(fd, head, "\r\n\r\n"))
		return false;
	end = strstr(head->str, "\r\n\r\n") + 4;
	g_string_assign(body, end);
	g_string_truncate(head, end - head->str);
	length = header_value(head, "content-length");
	wanted = length ? g_ascii_strtoull(length, NULL, 10) : 0;
	while (body->len < wanted)
		if (!read_more(fd, body))
			return false;
	return true;
}

void write_text(int fd, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list arguments;
	size_t len;
	size_t at = 0;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	len = strlen(text);
	while (at < len) {
		ssize_t n = write(fd, text + at, len - at);

		if (n <= 0)
			return;
		at += n;
	}
}

void write_stream_head(int fd, const char *request_id)
{
	write_text(fd,
		   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		   "X-Request-Id: %s\r\nX-Prefix-Cached: 1\r\n"
		   "Transfer-Encoding: chunked\r\n\r\n",
		   request_id);
}

static void write_event(int fd, const char *data)
{
	write_text(fd, "%zx\r\ndata: %s\n\n\r\n", strlen(data) + 8, data);
}

void write_chunk(int fd, const char *request_id, const char *text)
{
	g_autofree char *data = g_strdup_printf(
		"{\"id\":\"%s\",\"choices\":[{\"delta\":{\"content\":\"%s\"},"
		"\"finish_reason\":null}]}",
		request_id, text);

	write_event(fd, data);
}

void write_stream_end(int fd, const char *request_id)
{
	g_autofree char *data = g_strdup_printf(
		"{\"id\":\"%s\",\"choices\":[{\"delta\":{},"
		"\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":7,"
		"\"completion_tokens\":2}}",
		request_id);

	write_event(fd, data);
	write_event(fd, "[DONE]");
	write_text(fd, "0\r\n\r\n");
}

void write_whole(int fd, const char *request_id, const char *body)
{
	write_text(fd,
		   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		   "X-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
		   request_id, strlen(body), body);
}

void send_completion(int fd, bool stream)
{
	g_autofree char *body = g_strdup_printf(
		"{\"model\":\"m:a\",\"stream\":%s,\"max_tokens\":5,"
		"\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
		stream ? "true" : "false");

	write_text(fd,
		   "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
		   "Authorization: Bearer fh_key\r\n"
		   "X-Filberthall-Class: captions\r\n"
		   "Content-Length: %zu\r\n\r\n%s",
		   strlen(body), body);
}

char *request_id_of(const GString *head)
{
	return header_value(head, "x-request-id");
}

uint64_t wait_request(struct harness *harness)
{
	struct event *event = harness_wait(harness, EVENT_REQUEST);
	uint64_t id = event->u.request.id;

	event_free(event);
	return id;
}

void expect_ended(struct harness *harness, enum result code, bool sent,
		  int64_t tokens)
{
	struct event *event = harness_wait(harness, EVENT_ATTEMPT_ENDED);

	g_assert_cmpint(event->u.ended.code, ==, code);
	g_assert_cmpint(event->u.ended.sent, ==, sent);
	g_assert_cmpint(event->u.ended.tokens, ==, tokens);
	event_free(event);
}

void scene_open(struct scene *scene, void (*serve)(struct stand_in *, int, int),
		void (*change)(struct http_in_options *options), bool stream)
{
	int small = SMALL_BUFFER;

	stand_in_start(&scene->peer, serve);
	harness_start(&scene->harness, change);
	scene->fd = harness_dial(&scene->harness, HTTP_CALLERS);
	setsockopt(scene->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	send_completion(scene->fd, stream);
	scene->start = harness_attempt(wait_request(&scene->harness),
				       scene->peer.address);
}

void scene_start(struct scene *scene)
{
	http_out_start_attempt(scene->harness.out, &scene->start);
}

void scene_close(struct scene *scene)
{
	if (scene->fd >= 0)
		close(scene->fd);
	harness_stop(&scene->harness);
	stand_in_stop(&scene->peer);
}
