#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"

/* One request on one connection, answered as a stream of two tokens. */
static void serve_stream(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	while (read_request(fd, head, body)) {
		g_autofree char *id = request_id_of(head);

		g_assert_null(header_value(head, "authorization"));
		g_assert_nonnull(strstr(head->str, "\r\nX-Priority: 2\r\n"));
		g_assert_nonnull(strstr(head->str, "\r\ntraceparent: 00-0af"));
		g_atomic_int_inc(&stand_in->requests);
		write_stream_head(fd, id);
		write_chunk(fd, id, "one");
		write_chunk(fd, id, "two");
		write_stream_end(fd, id);
	}
}

static void stream_reaches_the_caller_whole(void)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	struct effect_start_attempt start;
	struct stand_in engine;
	struct harness harness;
	struct event *event;
	uint64_t id;
	int fd;

	stand_in_start(&engine, serve_stream);
	harness_start(&harness, NULL);
	fd = harness_dial(&harness, HTTP_CALLERS);
	send_completion(fd, true);
	event = harness_wait(&harness, EVENT_REQUEST);
	g_assert_cmpstr(event->u.request.model, ==, "m");
	g_assert_cmpstr(event->u.request.adapter, ==, "a");
	g_assert_cmpstr(event->u.request.class_name, ==, "captions");
	g_assert_cmpint(event->u.request.max_tokens, ==, 5);
	g_assert_cmpint(strlen(event->u.request.key_hash), ==, 64);
	id = event->u.request.id;
	event_free(event);
	start = harness_attempt(id, engine.address);
	start.keep_answer = true;
	start.keep_limit = 100000;
	http_out_start_attempt(harness.out, &start);
	event_free(harness_wait(&harness, EVENT_ATTEMPT_SENT));
	event = harness_wait(&harness, EVENT_ATTEMPT_TOKENS);
	g_assert_true(event->u.tokens.first);
	event_free(event);
	event = harness_wait(&harness, EVENT_ATTEMPT_ENDED);
	g_assert_cmpint(event->u.ended.code, ==, RESULT_OK);
	g_assert_cmpint(event->u.ended.tokens, ==, 2);
	g_assert_cmpint(event->u.ended.prompt_tokens, ==, 7);
	g_assert_true(event->u.ended.cached);
	g_assert_nonnull(strstr(bytes_text(&event->u.ended.answer), "[DONE]"));
	event_free(event);
	harness_answer(&harness, id, RESULT_OK);
	g_assert_true(read_until(fd, answer, "\r\n0\r\n\r\n"));
	g_assert_nonnull(strstr(answer->str, "text/event-stream"));
	g_assert_nonnull(strstr(answer->str, "\"one\""));
	g_assert_nonnull(strstr(answer->str, "\"two\""));
	g_assert_nonnull(strstr(answer->str, "data: [DONE]"));
	g_assert_nonnull(strstr(answer->str, "\"id\":\"entry-1-abc-1\""));
	g_assert_null(strstr(answer->str, "entry-1-abc-1.1"));
	close(fd);
	harness_stop(&harness);
	stand_in_stop(&engine);
}

/*
 * A caller would see another caller's text. The engine, or a box before it,
 * mixes answers up: the head carries the right id, a later chunk doesn't.
 */
static void serve_crossed(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	while (read_request(fd, head, body)) {
		g_autofree char *id = request_id_of(head);

		write_stream_head(fd, id);
		write_chunk(fd, id, "mine");
		write_chunk(fd, "entry-9-f-77.1", "secret");
		write_stream_end(fd, id);
	}
}

static void crossed_chunk_never_reaches_a_caller(void)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	struct scene scene;

	scene_open(&scene, serve_crossed, NULL, true);
	scene_start(&scene);
	expect_ended(&scene.harness, RESULT_BACKEND_CROSSED, true, 1);
	harness_answer(&scene.harness, scene.start.id, RESULT_BACKEND_CROSSED);
	g_assert_true(read_until(scene.fd, answer, "\r\n0\r\n\r\n"));
	g_assert_nonnull(strstr(answer->str, "mine"));
	g_assert_null(strstr(answer->str, "secret"));
	g_assert_nonnull(strstr(answer->str, "data: {\"error\""));
	g_assert_null(strstr(answer->str, "[DONE]"));
	g_assert_cmpint(atomic_load(&scene.harness.counters.crossed), ==, 1);
	scene_close(&scene);
}

/* The whole answer of another request: head and body carry its id. */
static void serve_whole_crossed(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	while (read_request(fd, head, body))
		write_whole(fd, "other.1", "{\"id\":\"other.1\"}");
}

static void crossed_whole_answer_never_reaches_a_caller(void)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	struct scene scene;

	scene_open(&scene, serve_whole_crossed, NULL, false);
	scene_start(&scene);
	expect_ended(&scene.harness, RESULT_BACKEND_CROSSED, true, 0);
	harness_answer(&scene.harness, scene.start.id, RESULT_BACKEND_CROSSED);
	g_assert_true(read_until(scene.fd, answer, "BACKEND_CROSSED"));
	g_assert_true(g_str_has_prefix(answer->str, "HTTP/1.1 502"));
	g_assert_null(strstr(answer->str, "other.1"));
	scene_close(&scene);
}

/*
 * A lodgement runs twice. On a kept-alive connection the peer reads the
 * second request, runs it and closes; the HTTP library opens a new connection
 * and sends it again by itself, and the core hears of one success.
 */
static void serve_then_close(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	while (read_request(fd, head, body)) {
		g_autofree char *id = request_id_of(head);

		if (g_atomic_int_add(&stand_in->requests, 1) == 1)
			return;
		write_whole(fd, id, "{\"lodged\":true}");
	}
}

static void lodge(int fd)
{
	write_text(fd, "POST /service/register/lodge?a=%%20b HTTP/1.1\r\n"
		       "Host: h\r\nAuthorization: Bearer fh_key\r\n"
		       "Idempotency-Key: k1\r\nContent-Length: 2\r\n\r\n{}");
}

static void nothing_is_sent_twice_behind_the_core(void)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	struct effect_start_attempt start;
	struct stand_in service;
	struct harness harness;
	uint64_t id;
	int fd;

	stand_in_start(&service, serve_then_close);
	harness_start(&harness, NULL);
	fd = harness_dial(&harness, HTTP_CALLERS);
	lodge(fd);
	id = wait_request(&harness);
	start = harness_attempt(id, service.address);
	http_out_start_attempt(harness.out, &start);
	expect_ended(&harness, RESULT_OK, true, 0);
	harness_answer(&harness, id, RESULT_OK);
	g_assert_true(read_until(fd, answer, "lodged"));
	lodge(fd);
	id = wait_request(&harness);
	start.id = id;
	http_out_start_attempt(harness.out, &start);
	expect_ended(&harness, RESULT_BACKEND_BROKE, true, 0);
	g_assert_cmpint(g_atomic_int_get(&service.requests), ==, 2);
	g_assert_cmpint(g_atomic_int_get(&service.connections), ==, 1);
	g_assert_cmpint(atomic_load(&harness.counters.reused), ==, 1);
	g_assert_cmpint(atomic_load(&harness.counters.resends_stopped), ==, 1);
	close(fd);
	harness_stop(&harness);
	stand_in_stop(&service);
}

/* A service's answers whose statuses are none. */
static const char *const no_statuses[] = { "000", "099", "600", "999" };

static void serve_no_status(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	while (read_request(fd, head, body)) {
		g_autofree char *id = request_id_of(head);

		write_text(fd,
			   "HTTP/1.1 %s No\r\nX-Request-Id: %s\r\n"
			   "Content-Length: 2\r\n\r\n{}",
			   no_statuses[nth], id);
	}
}

static void no_status_never_reaches_a_caller(void)
{
	struct effect_start_attempt start;
	struct stand_in service;
	struct harness harness;
	uint64_t id;
	size_t i;
	int fd;

	stand_in_start(&service, serve_no_status);
	harness_start(&harness, NULL);
	for (i = 0; i < G_N_ELEMENTS(no_statuses); i++) {
		fd = harness_dial(&harness, HTTP_CALLERS);
		lodge(fd);
		id = wait_request(&harness);
		start = harness_attempt(id, service.address);
		start.proven = true;
		http_out_start_attempt(harness.out, &start);
		expect_ended(&harness, RESULT_BACKEND_BROKE, true, 0);
		harness_answer(&harness, id, RESULT_BACKEND_BROKE);
		close(fd);
	}
	harness_stop(&harness);
	stand_in_stop(&service);
}

static void proven_attempt_opens_its_own_connection(void)
{
	struct effect_start_attempt start;
	struct stand_in engine;
	struct harness harness;
	uint64_t id;
	int i;
	int fd;

	stand_in_start(&engine, serve_stream);
	harness_start(&harness, NULL);
	for (i = 0; i < 2; i++) {
		fd = harness_dial(&harness, HTTP_CALLERS);
		send_completion(fd, true);
		id = wait_request(&harness);
		start = harness_attempt(id, engine.address);
		start.proven = i == 1;
		http_out_start_attempt(harness.out, &start);
		expect_ended(&harness, RESULT_OK, true, 2);
		harness_answer(&harness, id, RESULT_OK);
		close(fd);
	}
	g_assert_cmpint(g_atomic_int_get(&engine.connections), ==, 2);
	g_assert_cmpint(atomic_load(&harness.counters.reused), ==, 0);
	harness_stop(&harness);
	stand_in_stop(&engine);
}

static void refused_connect_is_not_sent(void)
{
	struct effect_start_attempt start;
	struct stand_in engine;
	struct harness harness;
	int fd;

	stand_in_refuse(&engine);
	harness_start(&harness, NULL);
	fd = harness_dial(&harness, HTTP_CALLERS);
	send_completion(fd, true);
	start = harness_attempt(wait_request(&harness), engine.address);
	http_out_start_attempt(harness.out, &start);
	expect_ended(&harness, RESULT_BACKEND_CONNECT, false, 0);
	g_assert_false(harness_has(&harness, EVENT_ATTEMPT_SENT));
	close(fd);
	harness_stop(&harness);
	close(engine.listener);
}

/*
 * A caller waits for minutes. Something in the middle has lost track of the
 * open connections: they stay silent while new ones work. Each request in
 * turn would find the next dead one and wait its time-out out.
 */
static void serve_until_silent(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	while (read_request(fd, head, body)) {
		g_autofree char *id = request_id_of(head);

		g_atomic_int_inc(&stand_in->requests);
		/* All of the first round answer only once all have come. */
		if (nth < 3 && !g_atomic_int_get(&stand_in->stage))
			wait_for_count(&stand_in->requests, 3);
		else if (nth < 3)
			continue;
		write_whole(fd, id, "{}");
	}
}

static void read_request_event(struct harness *harness, const char *address,
			       int64_t first_byte_ms)
{
	struct effect_start_attempt start;

	start = harness_attempt(wait_request(harness), address);
	start.first_byte_ms = first_byte_ms;
	http_out_start_attempt(harness->out, &start);
}

static void silent_connection_takes_its_siblings_along(void)
{
	struct stand_in service;
	struct harness harness;
	int64_t began_us;
	int fds[5];
	int i;

	stand_in_start(&service, serve_until_silent);
	harness_start(&harness, NULL);
	for (i = 0; i < 5; i++)
		fds[i] = harness_dial(&harness, HTTP_CALLERS);
	for (i = 0; i < 3; i++) {
		lodge(fds[i]);
		read_request_event(&harness, service.address, HARNESS_WAIT_MS);
	}
	for (i = 0; i < 3; i++)
		expect_ended(&harness, RESULT_OK, true, 0);
	g_atomic_int_set(&service.stage, 1);
	lodge(fds[3]);
	began_us = edge_now_us();
	read_request_event(&harness, service.address, 150);
	expect_ended(&harness, RESULT_BACKEND_TIMEOUT, true, 0);
	g_assert_cmpint(edge_now_us() - began_us, >=, 150000);
	g_assert_cmpint(edge_now_us() - began_us, <, 900000);
	g_assert_cmpint(atomic_load(&harness.counters.distrusted), ==, 2);
	lodge(fds[4]);
	read_request_event(&harness, service.address, HARNESS_WAIT_MS);
	expect_ended(&harness, RESULT_OK, true, 0);
	g_assert_cmpint(g_atomic_int_get(&service.connections), ==, 4);
	for (i = 0; i < 5; i++)
		close(fds[i]);
	harness_stop(&harness);
	stand_in_stop(&service);
}

static void serve_never(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	while (read_request(fd, head, body))
		g_atomic_int_inc(&stand_in->requests);
	g_atomic_int_inc(&stand_in->stage);
}

/*
 * Two VMs believe they are in charge. An order that was given up still lies
 * in a buffer and reaches the platform when the path opens again, after
 * another VM has taken over. The event must come in time and the connection
 * be cut off hard.
 */
static void order_is_given_up_for_good(void)
{
	struct effect_engine_order order = { .order_id = "o-1",
					     .verb = "load-model",
					     .fence = 4,
					     .timeout_ms = 100 };
	struct stand_in engine;
	struct harness harness;
	struct event *event;
	int64_t began_us;

	stand_in_start(&engine, serve_never);
	harness_start(&harness, NULL);
	order.address = engine.address;
	began_us = edge_now_us();
	http_out_engine_order(harness.out, &order);
	event = harness_wait(&harness, EVENT_PLATFORM);
	g_assert_cmpstr(event->u.platform.order_id, ==, "o-1");
	g_assert_cmpint(event->u.platform.code, ==, RESULT_PLATFORM_UNKNOWN);
	g_assert_cmpint(edge_now_us() - began_us, <, 900000);
	event_free(event);
	wait_for_count(&engine.stage, 1);
	harness_stop(&harness);
	stand_in_stop(&engine);
}

/*
 * The VM in charge decides on an order and is stopped in that very moment, for
 * longer than its lease. When it goes on, the order must not leave it any
 * more, however much time of its own it had: another VM may be in charge.
 */
static void order_after_its_lease_never_leaves(void)
{
	struct effect_platform_call call = { .order_id = "o-3",
					     .verb = "list",
					     .timeout_ms = HARNESS_WAIT_MS,
					     .until_us = 1 };
	struct stand_in platform;
	struct harness harness;
	struct event *event;

	stand_in_start(&platform, serve_never);
	harness_start_with(&harness, NULL, platform.address);
	http_out_platform_call(harness.out, &call);
	event = harness_wait(&harness, EVENT_PLATFORM);
	g_assert_cmpstr(event->u.platform.order_id, ==, "o-3");
	g_assert_cmpint(event->u.platform.code, ==, RESULT_PLATFORM_UNKNOWN);
	event_free(event);
	harness_stop(&harness);
	g_assert_cmpint(g_atomic_int_get(&platform.connections), ==, 0);
	stand_in_stop(&platform);
}

static void serve_order(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	while (read_request(fd, head, body)) {
		g_assert_nonnull(strstr(body->str, "\"order_id\":\"o-2\""));
		g_assert_nonnull(strstr(body->str, "\"fence\":4"));
		g_assert_nonnull(strstr(body->str, "\"verb\":\"load-model\""));
		g_assert_nonnull(strstr(body->str, "\"name\":\"m\""));
		write_text(fd, "HTTP/1.1 409 Conflict\r\n"
			       "Content-Length: 2\r\n\r\n{}");
	}
}

static void order_carries_id_and_fence(void)
{
	struct effect_engine_order order = { .order_id = "o-2",
					     .verb = "load-model",
					     .fence = 4,
					     .timeout_ms = HARNESS_WAIT_MS };
	struct stand_in engine;
	struct harness harness;
	struct event *event;

	stand_in_start(&engine, serve_order);
	harness_start(&harness, NULL);
	order.address = engine.address;
	bytes_append_text(&order.body, "{\"name\":\"m\"}");
	http_out_engine_order(harness.out, &order);
	event = harness_wait(&harness, EVENT_PLATFORM);
	g_assert_cmpint(event->u.platform.code, ==, RESULT_PLATFORM_REFUSED);
	g_assert_cmpstr(bytes_text(&event->u.platform.body), ==, "{}");
	event_free(event);
	bytes_clear(&order.body);
	harness_stop(&harness);
	stand_in_stop(&engine);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/attempt/stream", stream_reaches_the_caller_whole);
	g_test_add_func("/order/after-lease",
			order_after_its_lease_never_leaves);
	g_test_add_func("/attempt/crossed-chunk",
			crossed_chunk_never_reaches_a_caller);
	g_test_add_func("/attempt/crossed-whole",
			crossed_whole_answer_never_reaches_a_caller);
	g_test_add_func("/attempt/sent-once",
			nothing_is_sent_twice_behind_the_core);
	g_test_add_func("/attempt/no-status", no_status_never_reaches_a_caller);
	g_test_add_func("/attempt/proven",
			proven_attempt_opens_its_own_connection);
	g_test_add_func("/attempt/refused", refused_connect_is_not_sent);
	g_test_add_func("/attempt/silent",
			silent_connection_takes_its_siblings_along);
	g_test_add_func("/order/given-up", order_is_given_up_for_good);
	g_test_add_func("/order/fence", order_carries_id_and_fence);
	return g_test_run();
}
