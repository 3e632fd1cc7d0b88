#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"

static const char announcement[] =
	"{\"address\":\"127.0.0.1:9\",\"boot_id\":\"b\",\"sequence\":3,"
	"\"zone\":\"z\",\"model\":\"m\",\"adapters\":\"\",\"lease_ms\":3000,"
	"\"slots\":8,\"running\":2,\"prefill_rate\":900.5,\"cheap\":true}";

static void post(int fd, const char *path, const char *headers,
		 const char *body)
{
	write_text(fd,
		   "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %zu\r\n"
		   "\r\n%s",
		   path, headers, strlen(body), body);
}

static void expect_reply(int fd, const char *status, const char *text)
{
	g_autoptr(GString) reply = g_string_new(NULL);

	if (!read_until(fd, reply, text))
		g_error("no %s in: %s", text, reply->str);
	if (strncmp(reply->str + 9, status, 3) != 0)
		g_error("not %s: %s", status, reply->str);
}

struct bad_case {
	const char *path;
	const char *headers;
	const char *body;
	const char *status;
	const char *text;
};

#define KEY "Authorization: Bearer fh_key\r\n"
#define CHAT "/v1/chat/completions"
#define GOOD "{\"model\":\"m\",\"prompt\":\"p\"}"

static const struct bad_case caller_cases[] = {
	{ CHAT, KEY, "", "400", "BAD_REQUEST" },
	{ CHAT, KEY, "{", "400", "not a JSON object" },
	{ CHAT, KEY, "[]", "400", "not a JSON object" },
	{ CHAT, KEY, "{\"messages\":[]}", "400", "model" },
	{ CHAT, KEY, "{\"model\":\"m\",\"messages\":[]}", "400", "messages" },
	{ CHAT, KEY, "{\"model\":\"m\",\"messages\":[{}]}", "400", "role" },
	{ CHAT, KEY, "\xff\xfe", "400", "BAD_REQUEST" },
	{ CHAT, "", GOOD, "401", "NO_KEY" },
	{ "/v1/completions", "Authorization: Basic eDp5\r\n", GOOD, "401",
	  "NO_KEY" },
	{ "/v1/completions", "Authorization: Bearer \r\n", GOOD, "401",
	  "NO_KEY" },
	{ "/v1/completions", KEY "X-Filberthall-Deadline-Ms: soon\r\n", GOOD,
	  "400", "Deadline" },
	{ "/v1/completions", KEY "X-Filberthall-Deadline-Ms: 0\r\n", GOOD,
	  "400", "Deadline" },
	{ "/v1/completions", KEY "X-Filberthall-Class: \r\n", GOOD, "400",
	  "Class" },
	{ "/v1/completions", KEY "Idempotency-Key: \r\n", GOOD, "400",
	  "Idempotency-Key" },
	{ "/v1/nothing", KEY, GOOD, "404", "NO_ROUTE" },
	{ "/service/", KEY, GOOD, "404", "NO_ROUTE" },
	{ "/service/a/../b", KEY, GOOD, "400", "segments" },
	{ "/service/a/%2e%2e/b", KEY, GOOD, "400", "segments" },
	{ "/service/a/..", KEY, GOOD, "400", "segments" },
};

static const struct bad_case backend_cases[] = {
	{ "/backend/announce", "", "", "400", "BAD_REQUEST" },
	{ "/backend/announce", "", "{}", "400", "address" },
	{ "/backend/announce", "",
	  "{\"address\":\"a\",\"boot_id\":\"b\",\"sequence\":1,\"zone\":\"z\","
	  "\"lease_ms\":1,\"slots\":1,\"model\":\"m\"}",
	  "400", "IP:port" },
	{ "/backend/announce", "",
	  "{\"address\":\"127.0.0.1:9\",\"boot_id\":\"b\",\"sequence\":-1,"
	  "\"zone\":\"z\",\"lease_ms\":1,\"slots\":1,\"model\":\"m\"}",
	  "400", "sequence" },
	{ "/backend/announce", "",
	  "{\"address\":\"127.0.0.1:9\",\"boot_id\":\"b\",\"sequence\":1,"
	  "\"zone\":\"z\",\"lease_ms\":1,\"slots\":1}",
	  "400", "service and model" },
	{ "/backend/announce", "",
	  "{\"address\":\"127.0.0.1:9\",\"boot_id\":\"b\",\"sequence\":1,"
	  "\"zone\":\"z\",\"lease_ms\":99999999,\"slots\":1,\"model\":\"m\"}",
	  "400", "lease_ms" },
	{ "/backend/cache", "", "{\"events\":7}", "400", "events" },
	{ "/backend/cache", "",
	  "{\"address\":\"127.0.0.1:9\",\"boot_id\":\"b\",\"events\":["
	  "{\"prefix\":\"00000000000000ff\",\"held\":true},"
	  "{\"prefix\":\"zz\",\"held\":true}]}",
	  "400", "events[1]" },
	{ "/platform/notice", "", "{\"zone\":\"z\"}", "400", "in_ms" },
	{ "/elsewhere", "", "{}", "404", "NO_ROUTE" },
};

static const struct bad_case operator_cases[] = {
	{ "/admin/status", "", "{}", "401", "NO_KEY" },
	{ "/admin/", KEY, "{}", "404", "NO_ROUTE" },
	{ "/other", KEY, "{}", "404", "NO_ROUTE" },
};

static void refuse_all(struct harness *harness, enum http_door door,
		       const struct bad_case *cases, size_t n)
{
	size_t i;
	int fd;

	for (i = 0; i < n; i++) {
		fd = harness_dial(harness, door);
		post(fd, cases[i].path, cases[i].headers, cases[i].body);
		expect_reply(fd, cases[i].status, cases[i].text);
		close(fd);
	}
}

static void bad_input_is_refused_at_each_door(void)
{
	struct harness harness;

	harness_start(&harness, NULL);
	refuse_all(&harness, HTTP_CALLERS, caller_cases,
		   G_N_ELEMENTS(caller_cases));
	refuse_all(&harness, HTTP_BACKENDS, backend_cases,
		   G_N_ELEMENTS(backend_cases));
	refuse_all(&harness, HTTP_OPERATORS, operator_cases,
		   G_N_ELEMENTS(operator_cases));
	g_assert_true(list_empty(&harness.events));
	harness_stop(&harness);
}

static void what_is_too_large_is_refused(void)
{
	g_autofree char *huge = g_strnfill(70000, 'x');
	g_autofree char *header = g_strdup_printf("X-Long: %s\r\n", huge);
	g_autoptr(GString) reply = g_string_new(NULL);
	struct harness harness;
	int fd;

	harness_start(&harness, NULL);
	fd = harness_dial(&harness, HTTP_CALLERS);
	post(fd, CHAT, KEY, huge);
	expect_reply(fd, "413", "TOO_LARGE");
	close(fd);
	fd = harness_dial(&harness, HTTP_CALLERS);
	write_text(fd,
		   "POST " CHAT " HTTP/1.1\r\nHost: h\r\n" KEY
		   "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
		   strlen(huge), huge);
	expect_reply(fd, "413", "TOO_LARGE");
	close(fd);
	fd = harness_dial(&harness, HTTP_CALLERS);
	post(fd, CHAT, header, "{}");
	read_until(fd, reply, "\r\n\r\n");
	g_assert_true(!reply->len || strstr(reply->str, " 431 ") ||
		      strstr(reply->str, " 413 "));
	close(fd);
	harness_stop(&harness);
}

static struct event *open_request(struct harness *harness, int *fd)
{
	*fd = harness_dial(harness, HTTP_CALLERS);
	send_completion(*fd, true);
	return harness_wait(harness, EVENT_REQUEST);
}

static void short_patience(struct http_in_options *options)
{
	options->idle_s = 1;
}

/*
 * No caller gets in any more. Some open connections and send a byte now and
 * then, or nothing: each holds a place of the listener for good.
 */
static void slow_callers_are_cut_off_and_stop_nobody(void)
{
	g_autoptr(GString) reply = g_string_new(NULL);
	struct harness harness;
	struct event *event;
	int silent;
	int slow;
	int fd;

	harness_start(&harness, short_patience);
	silent = harness_dial(&harness, HTTP_CALLERS);
	slow = harness_dial(&harness, HTTP_CALLERS);
	write_text(slow, "POST " CHAT " HTTP/1.1\r\nHost: h\r\nX-A: ");
	while (!atomic_load(&harness.counters.slow_callers)) {
		write_text(slow, "x");
		g_usleep(100000);
	}
	event = open_request(&harness, &fd);
	harness_answer(&harness, event->u.request.id, RESULT_QUEUE_FULL);
	expect_reply(fd, "503", "QUEUE_FULL");
	event_free(event);
	read_all(silent, reply);
	read_all(slow, reply);
	g_assert_cmpuint(reply->len, ==, 0);
	close(silent);
	close(slow);
	close(fd);
	harness_stop(&harness);
}

static void refusal_says_what_a_caller_can_rely_on(void)
{
	struct effect_answer answer = { .code = RESULT_LIMIT_TOKENS,
					.run = RUN_UNKNOWN,
					.retry_after_ms = 1500 };
	g_autoptr(GString) reply = g_string_new(NULL);
	struct harness harness;
	struct event *event;
	int fd;

	harness_start(&harness, NULL);
	event = open_request(&harness, &fd);
	answer.id = event->u.request.id;
	http_in_answer(harness.in, &answer);
	http_in_answer(harness.in, &answer);
	g_assert_true(read_until(fd, reply, "\"run\":\"unknown\""));
	g_assert_true(g_str_has_prefix(reply->str, "HTTP/1.1 429"));
	g_assert_nonnull(strstr(reply->str, "Filberthall-Run: unknown"));
	g_assert_nonnull(strstr(reply->str, "Filberthall-Code: 303"));
	g_assert_nonnull(strstr(reply->str, "Retry-After: 2"));
	g_assert_nonnull(strstr(reply->str, "X-Request-Id: entry-1-abc-1"));
	g_assert_nonnull(strstr(reply->str, event->u.request.trace));
	event_free(event);
	close(fd);
	harness_stop(&harness);
}

static void kept_answer_comes_whole(void)
{
	struct effect_answer answer = { .http_status = 201,
					.run = RUN_RAN,
					.content_type = "text/x" };
	struct harness harness;
	struct event *event;
	int fd;

	harness_start(&harness, NULL);
	fd = harness_dial(&harness, HTTP_CALLERS);
	post(fd, "/service/register/lodge", KEY "Idempotency-Key: k\r\n", "b");
	event = harness_wait(&harness, EVENT_REQUEST);
	g_assert_cmpstr(event->u.request.service, ==, "register");
	g_assert_cmpstr(event->u.request.path, ==, "/lodge");
	g_assert_cmpstr(event->u.request.idempotency_key, ==, "k");
	answer.id = event->u.request.id;
	bytes_append_text(&answer.body, "kept before");
	http_in_answer(harness.in, &answer);
	expect_reply(fd, "201", "kept before");
	bytes_clear(&answer.body);
	event_free(event);
	close(fd);
	harness_stop(&harness);
}

static void trace_goes_on(void)
{
	static const char parent[] =
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
	struct harness harness;
	struct event *event;
	int fd;

	harness_start(&harness, NULL);
	fd = harness_dial(&harness, HTTP_CALLERS);
	post(fd, "/v1/completions",
	     KEY "traceparent: 00-0af7651916cd43dd8448eb211c80319c-"
		 "b7ad6b7169203331-01\r\n",
	     GOOD);
	event = harness_wait(&harness, EVENT_REQUEST);
	g_assert_cmpint(strlen(event->u.request.trace), ==, 55);
	g_assert_cmpint(strncmp(event->u.request.trace, parent, 36), ==, 0);
	g_assert_cmpstr(event->u.request.trace, !=, parent);
	event_free(event);
	close(fd);
	harness_stop(&harness);
}

static void views_show_what_was_published(void)
{
	struct effect_publish publish = { .healthy = true };
	struct harness harness;
	int fd;

	harness_start(&harness, NULL);
	fd = harness_dial(&harness, HTTP_CALLERS);
	write_text(fd, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
	expect_reply(fd, "503", "not ready");
	bytes_append_text(&publish.models, "{\"data\":[]}");
	bytes_append_text(&publish.metrics, "core_metric 1\n");
	http_in_publish(harness.in, &publish);
	write_text(fd, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
	expect_reply(fd, "200", "ok\n");
	write_text(fd, "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n");
	expect_reply(fd, "200", "{\"data\":[]}");
	write_text(fd, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
	expect_reply(fd, "200", "filberthall_http_requests_total 0");
	bytes_clear(&publish.models);
	bytes_clear(&publish.metrics);
	close(fd);
	harness_stop(&harness);
}

static void expect_announcement(struct harness *harness)
{
	struct event *event = harness_wait(harness, EVENT_ANNOUNCE);
	const struct event_announce *announce = &event->u.announce;

	g_assert_cmpstr(announce->address, ==, "127.0.0.1:9");
	g_assert_cmpint(announce->sequence, ==, 3);
	g_assert_cmpfloat(announce->prefill_rate, ==, 900.5);
	g_assert_true(announce->cheap);
	g_assert_null(announce->adapters);
	event_free(event);
}

static void backend_servers_are_heard(void)
{
	struct harness harness;
	struct event *event;
	int fd;

	harness_start(&harness, NULL);
	fd = harness_dial(&harness, HTTP_BACKENDS);
	post(fd, "/backend/announce", "", announcement);
	expect_reply(fd, "200", "{}");
	expect_announcement(&harness);
	post(fd, "/backend/cache", "",
	     "{\"address\":\"127.0.0.1:9\",\"boot_id\":\"b\",\"events\":["
	     "{\"prefix\":\"00000000000000fF\",\"held\":true}]}");
	expect_reply(fd, "200", "{}");
	event = harness_wait(&harness, EVENT_CACHE);
	g_assert_cmpuint(event->u.cache.prefix_hash, ==, 255);
	event_free(event);
	post(fd, "/platform/notice", "",
	     "{\"zone\":\"z\",\"kind\":\"reclaim\",\"in_ms\":5000}");
	expect_reply(fd, "200", "{}");
	event = harness_wait(&harness, EVENT_PLATFORM);
	g_assert_null(event->u.platform.order_id);
	event_free(event);
	close(fd);
	harness_stop(&harness);
}

static void operators_are_answered(void)
{
	struct effect_admin_answer answer = { .code = RESULT_CONFLICT };
	struct harness harness;
	struct event *event;
	int fd;

	harness_start(&harness, NULL);
	fd = harness_dial(&harness, HTTP_OPERATORS);
	post(fd, "/admin/settings-set", KEY, "{\"path\":\"p\"}");
	event = harness_wait(&harness, EVENT_ADMIN);
	g_assert_cmpstr(event->u.admin.command, ==, "settings-set");
	g_assert_cmpstr(bytes_text(&event->u.admin.body), ==,
			"{\"path\":\"p\"}");
	answer.id = event->u.admin.id;
	bytes_append_text(&answer.body, "{\"name\":\"CONFLICT\"}");
	http_in_admin_answer(harness.in, &answer);
	expect_reply(fd, "409", "CONFLICT");
	bytes_clear(&answer.body);
	event_free(event);
	close(fd);
	harness_stop(&harness);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/listener/bad-input",
			bad_input_is_refused_at_each_door);
	g_test_add_func("/listener/too-large", what_is_too_large_is_refused);
	g_test_add_func("/listener/slow",
			slow_callers_are_cut_off_and_stop_nobody);
	g_test_add_func("/listener/refusal",
			refusal_says_what_a_caller_can_rely_on);
	g_test_add_func("/listener/kept", kept_answer_comes_whole);
	g_test_add_func("/listener/trace", trace_goes_on);
	g_test_add_func("/listener/views", views_show_what_was_published);
	g_test_add_func("/listener/backends", backend_servers_are_heard);
	g_test_add_func("/listener/operators", operators_are_answered);
	return g_test_run();
}
