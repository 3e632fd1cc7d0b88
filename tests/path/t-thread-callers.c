#include <string.h>
#include <sys/socket.h>

#include "harness.h"

/* Bytes enough to fill socket buffers and the exchange several times over. */
#define FLOOD_CHUNKS 60000
#define FLOOD_CHUNK_BYTES 256

/* Sends tokens as fast as the connection takes them. */
static void serve_flood(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);
	g_autofree char *id = NULL;
	int small = SMALL_BUFFER;
	int i;

	if (!read_request(fd, head, body))
		return;
	id = request_id_of(head);
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof(small));
	write_stream_head(fd, id);
	for (i = 0; i < FLOOD_CHUNKS; i++) {
		write_chunk(fd, id, "0123456789012345678901234567890123456789");
		g_atomic_int_inc(&stand_in->stage);
	}
	write_stream_end(fd, id);
}

static size_t waiting_bytes(struct harness *harness, uint64_t id)
{
	struct exchange *exchange =
		exchange_table_find(&harness->exchanges, id);
	size_t len;

	pthread_mutex_lock(&exchange->lock);
	len = exchange->waiting.len;
	pthread_mutex_unlock(&exchange->lock);
	exchange_unref(exchange);
	return len;
}

/*
 * Memory of a VM grows with each slow caller until it is killed: the engine
 * makes tokens faster than the caller reads, and the rest piles up between.
 */
static void slow_reader_holds_the_engine_back(void)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	struct scene scene;

	scene_open(&scene, serve_flood, NULL, true);
	/* Waiting for the caller isn't silence of the engine. */
	scene.start.idle_ms = 50;
	scene_start(&scene);
	while (waiting_bytes(&scene.harness, scene.start.id) +
		       FLOOD_CHUNK_BYTES <
	       EXCHANGE_WAITING_BYTES)
		g_usleep(1000);
	g_usleep(4 * scene.start.idle_ms * 1000);
	g_assert_cmpint(g_atomic_int_get(&scene.peer.stage), <, FLOOD_CHUNKS);
	g_assert_cmpuint(waiting_bytes(&scene.harness, scene.start.id), <=,
			 EXCHANGE_WAITING_BYTES);
	g_assert_false(harness_has(&scene.harness, EVENT_ATTEMPT_ENDED));
	g_assert_true(read_until(scene.fd, answer, "[DONE]"));
	expect_ended(&scene.harness, RESULT_OK, true, FLOOD_CHUNKS);
	harness_answer(&scene.harness, scene.start.id, RESULT_OK);
	g_assert_true(read_until(scene.fd, answer, "\r\n0\r\n\r\n"));
	scene_close(&scene);
}

static void short_patience(struct http_in_options *options)
{
	options->idle_s = 1;
}

/*
 * An engine's slot is held for good: its caller keeps the connection open but
 * has stopped to read, and the attempt waits for room that never comes.
 */
static void caller_that_never_reads_is_cut_off(void)
{
	struct effect_cancel_attempt cancel = { .attempt = 1 };
	struct scene scene;

	scene_open(&scene, serve_flood, short_patience, true);
	scene_start(&scene);
	event_free(harness_wait(&scene.harness, EVENT_CALLER_LEFT));
	cancel.id = scene.start.id;
	http_out_cancel_attempt(scene.harness.out, &cancel);
	event_free(harness_wait(&scene.harness, EVENT_ATTEMPT_ENDED));
	g_assert_cmpint(g_atomic_int_get(&scene.peer.stage), <, FLOOD_CHUNKS);
	harness_answer(&scene.harness, scene.start.id, RESULT_CALLER_LEFT);
	scene_close(&scene);
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
 * An engine works for nobody. The caller hangs up while its request waits for
 * the first token; its connection is suspended, so the HTTP library would
 * notice only with the next byte to write.
 */
static void caller_that_leaves_frees_the_engine(void)
{
	struct effect_cancel_attempt cancel = { .attempt = 1 };
	struct scene scene;
	struct event *event;

	scene_open(&scene, serve_never, NULL, true);
	scene_start(&scene);
	wait_for_count(&scene.peer.requests, 1);
	close(scene.fd);
	scene.fd = -1;
	event = harness_wait(&scene.harness, EVENT_CALLER_LEFT);
	g_assert_cmpuint(event->u.caller_left.id, ==, scene.start.id);
	event_free(event);
	cancel.id = scene.start.id;
	http_out_cancel_attempt(scene.harness.out, &cancel);
	expect_ended(&scene.harness, RESULT_CALLER_LEFT, true, 0);
	wait_for_count(&scene.peer.stage, 1);
	harness_answer(&scene.harness, scene.start.id, RESULT_CALLER_LEFT);
	http_out_cancel_attempt(scene.harness.out, &cancel);
	scene_close(&scene);
}

/* Connection 0 answers late, connection 1 at once. */
static void serve_first_late(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);
	g_autofree char *id = NULL;

	if (!read_request(fd, head, body))
		return;
	g_atomic_int_inc(&stand_in->requests);
	id = request_id_of(head);
	write_stream_head(fd, id);
	if (!nth)
		wait_for_count(&stand_in->stage, 1);
	write_chunk(fd, id, nth ? "fast" : "late");
	write_stream_end(fd, id);
}

/*
 * A caller sees two answers run into each other: a request is hedged and
 * both engines stream. Only the first to deliver may go on.
 */
static void late_hedge_delivers_nothing(void)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	struct scene scene;

	scene_open(&scene, serve_first_late, NULL, true);
	scene_start(&scene);
	wait_for_count(&scene.peer.requests, 1);
	scene.start.attempt = 2;
	scene_start(&scene);
	expect_ended(&scene.harness, RESULT_OK, true, 1);
	g_atomic_int_set(&scene.peer.stage, 1);
	expect_ended(&scene.harness, RESULT_CALLER_LEFT, true, 0);
	harness_answer(&scene.harness, scene.start.id, RESULT_OK);
	g_assert_true(read_until(scene.fd, answer, "\r\n0\r\n\r\n"));
	g_assert_nonnull(strstr(answer->str, "fast"));
	g_assert_null(strstr(answer->str, "late"));
	g_assert_cmpint(atomic_load(&scene.harness.counters.late), ==, 1);
	scene_close(&scene);
}

/* The first connection breaks after one token, the second goes on there. */
static void serve_broken_then_rest(struct stand_in *stand_in, int fd, int nth)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);
	g_autofree char *resume = NULL;
	g_autofree char *id = NULL;

	if (!read_request(fd, head, body))
		return;
	id = request_id_of(head);
	resume = header_value(head, "x-resume-tokens");
	write_stream_head(fd, id);
	if (!nth) {
		write_chunk(fd, id, "one");
		return;
	}
	g_assert_cmpstr(resume, ==, "1");
	write_chunk(fd, id, "");
	write_chunk(fd, id, "two");
	write_stream_end(fd, id);
}

static void resumed_stream_joins_without_gap_or_repeat(void)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	struct scene scene;

	scene_open(&scene, serve_broken_then_rest, NULL, true);
	scene_start(&scene);
	expect_ended(&scene.harness, RESULT_BACKEND_BROKE, true, 1);
	scene.start.attempt = 2;
	scene.start.resume_tokens = 1;
	scene_start(&scene);
	expect_ended(&scene.harness, RESULT_OK, true, 1);
	harness_answer(&scene.harness, scene.start.id, RESULT_OK);
	g_assert_true(read_until(scene.fd, answer, "\r\n0\r\n\r\n"));
	g_assert_nonnull(strstr(answer->str, "\"one\""));
	g_assert_nonnull(strstr(strstr(answer->str, "\"one\""), "\"two\""));
	g_assert_null(strstr(answer->str, "\"content\":\"\""));
	scene_close(&scene);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/caller/slow-reader",
			slow_reader_holds_the_engine_back);
	g_test_add_func("/caller/never-reads",
			caller_that_never_reads_is_cut_off);
	g_test_add_func("/caller/caller-left",
			caller_that_leaves_frees_the_engine);
	g_test_add_func("/caller/hedge", late_hedge_delivers_nothing);
	g_test_add_func("/caller/resume",
			resumed_stream_joins_without_gap_or_repeat);
	return g_test_run();
}
