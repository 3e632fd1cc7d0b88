#include <glib.h>
#include <string.h>

#include "daemon/http/adapter.h"
#include "daemon/http/http_in.h"
#include "daemon/http/sse.h"

struct call_case {
	const char *verb;
	const char *arguments;
	const char *method; /**< NULL: refused */
	const char *path;
	const char *in_body;
};

static const struct call_case platform_cases[] = {
	{ "start", "{\"zone\":\"z\"}", "POST", "/orders", "\"zone\":\"z\"" },
	{ "start", "", "POST", "/orders", "\"verb\":\"start\"" },
	{ "stop", "{\"address\":\"a\"}", "POST", "/orders", "\"fence\":9" },
	{ "list", "", "GET", "/orders", "" },
	{ "offers", "", "GET", "/offers", "" },
	{ "report", "{\"window\":3}", "POST", "/reports",
	  "\"report_id\":\"id-1\"" },
	{ "explode", "{}", NULL, NULL, NULL },
	{ "start", "[]", NULL, NULL, NULL },
	{ "start", "{", NULL, NULL, NULL },
};

static void platform_calls_are_built_from_the_table(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(platform_cases); i++) {
		const struct call_case *at = &platform_cases[i];
		struct effect_platform_call effect = {
			.order_id = "id-1",
			.verb = (char *)at->verb,
			.fence = 9,
		};
		struct adapter_call call;
		enum result code;

		bytes_append_text(&effect.body, at->arguments);
		code = adapter_platform_call(&call, &effect);
		g_assert_cmpint(code, ==,
				at->method ? RESULT_OK : RESULT_BAD_REQUEST);
		if (at->method) {
			g_assert_cmpstr(call.method, ==, at->method);
			g_assert_cmpstr(call.path, ==, at->path);
			g_assert_nonnull(
				strstr(bytes_text(&call.body), at->in_body));
		}
		bytes_clear(&call.body);
		bytes_clear(&effect.body);
	}
}

static const struct call_case engine_cases[] = {
	{ "cancel", "{\"request_id\":\"r\"}", "POST", "/engine/cancel", "r" },
	{ "export", "{}", "POST", "/engine/kv/export", "" },
	{ "import", "{}", "POST", "/engine/kv/import", "" },
	{ "set-role", "{\"name\":\"decode\"}", "POST", "/engine/orders",
	  "\"order_id\":\"id-1\"" },
	{ "start", "{}", NULL, NULL, NULL },
};

static void engine_orders_are_built_from_the_table(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(engine_cases); i++) {
		const struct call_case *at = &engine_cases[i];
		struct effect_engine_order effect = {
			.order_id = "id-1",
			.verb = (char *)at->verb,
		};
		struct adapter_call call;
		enum result code;

		bytes_append_text(&effect.body, at->arguments);
		code = adapter_engine_call(&call, &effect);
		g_assert_cmpint(code, ==,
				at->method ? RESULT_OK : RESULT_BAD_REQUEST);
		if (at->method) {
			g_assert_cmpstr(call.path, ==, at->path);
			g_assert_nonnull(
				strstr(bytes_text(&call.body), at->in_body));
		}
		bytes_clear(&call.body);
		bytes_clear(&effect.body);
	}
}

static struct adapter_chunk read_chunk(const char *text)
{
	struct adapter_chunk chunk;

	g_assert_true(adapter_read_chunk(&chunk, text, strlen(text), "id-1"));
	return chunk;
}

static void chunks_are_told_apart(void)
{
	struct adapter_chunk chunk;

	chunk = read_chunk("{\"id\":\"id-1\",\"choices\":[{\"text\":\"a\"}]}");
	g_assert_true(chunk.mine && chunk.tokens == 1 && !chunk.finished);
	chunk = read_chunk("{\"id\":\"id-2\",\"choices\":[{\"delta\":"
			   "{\"content\":\"\"}}]}");
	g_assert_true(!chunk.mine && !chunk.tokens);
	chunk = read_chunk("{\"choices\":[]}");
	g_assert_false(chunk.mine);
	chunk = read_chunk("{\"id\":\"id-1\",\"choices\":[{\"message\":"
			   "{\"content\":\"a b\"},\"finish_reason\":\"stop\"}],"
			   "\"usage\":{\"prompt_tokens\":3,"
			   "\"completion_tokens\":2}}");
	g_assert_true(chunk.finished);
	g_assert_cmpint(chunk.prompt_tokens, ==, 3);
	g_assert_cmpint(chunk.output_tokens, ==, 2);
	chunk = read_chunk("{\"error\":{}}");
	g_assert_true(chunk.error);
	g_assert_false(adapter_read_chunk(&chunk, "[DONE", 5, "id-1"));
}

static enum result collect(void *data, const char *event, size_t len,
			   const char *payload, size_t payload_len)
{
	if (payload)
		g_string_append_len(data, payload, payload_len);
	else
		g_string_append_len(data, event, len);
	g_string_append_c(data, '|');
	return RESULT_OK;
}

static void events_are_cut_wherever_the_bytes_are(void)
{
	static const char stream[] = "data: a\n\n: comment\n\nid: 7\ndata:b\n\n"
				     "data: c\r\n\r\ndata: rest";
	size_t piece;

	for (piece = 1; piece < sizeof(stream); piece++) {
		g_autoptr(GString) all = g_string_new(NULL);
		struct sse sse = { 0 };
		size_t at;

		for (at = 0; at < sizeof(stream) - 1; at += piece)
			g_assert_cmpint(sse_feed(&sse, stream + at,
						 MIN(piece,
						     sizeof(stream) - 1 - at),
						 collect, all),
					==, RESULT_OK);
		g_assert_cmpstr(all->str, ==, "a|: comment\n\n|b|c|");
		sse_clear(&sse);
	}
}

static void endless_event_is_broken_off(void)
{
	g_autofree char *piece = g_strnfill(SSE_EVENT_BYTES / 4, 'x');
	struct sse sse = { 0 };
	enum result code = RESULT_OK;
	int i;

	for (i = 0; i < 5 && !code; i++)
		code = sse_feed(&sse, piece, strlen(piece), collect, NULL);
	g_assert_cmpint(code, ==, RESULT_BACKEND_BROKE);
	g_assert_cmpint(i, ==, 5);
	sse_clear(&sse);
}

static void key_hash_depends_on_key_and_secret(void)
{
	g_autofree char *long_secret = g_strnfill(200, 's');
	char one[65];
	char other[65];

	key_hash(one, "secret", 6, "fh_a", 4);
	g_assert_cmpint(strlen(one), ==, 64);
	key_hash(other, "secret", 6, "fh_b", 4);
	g_assert_cmpstr(one, !=, other);
	key_hash(other, "Secret", 6, "fh_a", 4);
	g_assert_cmpstr(one, !=, other);
	key_hash(one, long_secret, 200, "fh_a", 4);
	key_hash(other, long_secret, 199, "fh_a", 4);
	g_assert_cmpstr(one, !=, other);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/adapter/platform",
			platform_calls_are_built_from_the_table);
	g_test_add_func("/adapter/engine",
			engine_orders_are_built_from_the_table);
	g_test_add_func("/adapter/chunk", chunks_are_told_apart);
	g_test_add_func("/sse/cut", events_are_cut_wherever_the_bytes_are);
	g_test_add_func("/sse/endless", endless_event_is_broken_off);
	g_test_add_func("/key-hash", key_hash_depends_on_key_and_secret);
	return g_test_run();
}
