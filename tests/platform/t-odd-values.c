/* Odd values in what servers, operators and other VMs say. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "feed/feed.h"
#include "platform/platform.h"

/* The fields of a registration; the odd one is put in place of its own. */
static const struct {
	const char *name;
	const char *value;
} fields[] = {
	{ "service", "\"s\"" },
	{ "address", "\"10.0.0.9:80\"" },
	{ "zone", "\"a\"" },
	{ "state", "\"ready\"" },
	{ "version", "\"v1\"" },
	{ "sequence", "4" },
	{ "slots", "64" },
	{ "born", "1764900000000" },
	{ "cold_remaining_ms", "0.5" },
	{ "leaves_ms", "1.5" },
	{ "models", "[]" },
};

static enum result read_with(const char *name, const char *value)
{
	struct bytes text = { 0 };
	struct registration told;
	enum result code;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		bytes_append_format(&text, "%s\"%s\":%s", i ? "," : "{",
				    fields[i].name,
				    name && !strcmp(name, fields[i].name)
					    ? value
					    : fields[i].value);
	bytes_append_text(&text, "}");
	code = platform_read_registration("i-1", text.data, text.len, &told,
					  NULL);
	bytes_clear(&text);
	return code;
}

/* An entry of another writer with an odd value names a server to use. */
static void test_registration_values(void)
{
	static const char *const numbers[] = {
		"0.5",	  "-1",	       "1e400",
		"-1e400", "1e300",     "18446744073709551616",
		"\"4\"",  "null",      "true",
		"[4]",	  "{\"a\":4}", "1125899906842625",
	};
	static const char *const texts[] = {
		"4", "null", "\"\"", "[]", "{}", "true", "\"a\\u0000b\"",
	};
	static const char *const addresses[] = {
		"10.0.0.9:0",
		"10.0.0.9:65536",
		"10.0.0.9:-1",
		"10.0.0.9",
		":80",
		"10.0.0.9:80x",
		"0.0.0.0:80",
		"0.1.2.3:80",
		"255.255.255.255:80",
		"224.0.0.1:80",
		"240.0.0.1:80",
		"[::]:80",
		"[ff02::1]:80",
		"host.example:80",
		"10.0.0.9:80 ",
		"10.0.0.9:99999999999999999999",
	};
	static const char *const whole[] = { "sequence", "slots", "born" };
	static const char *const named[] = { "service", "zone", "state" };
	char *quoted;
	char *longer = g_strnfill(500, 'x');
	size_t i;
	size_t j;

	g_assert_cmpint(read_with(NULL, NULL), ==, RESULT_OK);
	for (i = 0; i < G_N_ELEMENTS(whole); i++) {
		g_assert_cmpint(read_with(whole[i], "5e0"), ==, RESULT_OK);
		for (j = 0; j < G_N_ELEMENTS(numbers); j++)
			g_assert_cmpint(read_with(whole[i], numbers[j]), ==,
					RESULT_BAD_REQUEST);
	}
	g_assert_cmpint(read_with("slots", "4294967296"), ==,
			RESULT_BAD_REQUEST);
	for (i = 0; i < G_N_ELEMENTS(named); i++)
		for (j = 0; j < G_N_ELEMENTS(texts); j++)
			g_assert_cmpint(read_with(named[i], texts[j]), ==,
					RESULT_BAD_REQUEST);
	quoted = xstrfmt("\"%s\"", longer);
	g_assert_cmpint(read_with("address", quoted), ==, RESULT_BAD_REQUEST);
	g_assert_cmpint(read_with("service", quoted), ==, RESULT_OK);
	g_assert_cmpint(read_with("zone", quoted), ==, RESULT_OK);
	g_free(quoted);
	for (i = 0; i < G_N_ELEMENTS(addresses); i++) {
		quoted = xstrfmt("\"%s\"", addresses[i]);
		g_assert_cmpint(read_with("address", quoted), ==,
				RESULT_BAD_REQUEST);
		g_free(quoted);
	}
	g_free(longer);
}

static char *nested(const char *open, int depth, const char *close)
{
	struct bytes text = { 0 };
	char *copy;
	int i;

	for (i = 0; i < depth; i++)
		bytes_append_text(&text, open);
	for (i = 0; i < depth; i++)
		bytes_append_text(&text, close);
	copy = xstrdup(bytes_text(&text));
	bytes_clear(&text);
	return copy;
}

/* A deeply nested entry or document ends the process. */
static void test_nested(void)
{
	static const char *const ends[] = { "]", "" };
	struct registration told;
	char *text;
	int depth;
	size_t i;

	for (depth = 100; depth <= 1000000; depth *= 100)
		for (i = 0; i < G_N_ELEMENTS(ends); i++) {
			text = nested("[", depth, ends[i]);
			g_assert_cmpint(read_with("models", text), ==,
					depth == 100 && *ends[i]
						? RESULT_OK
						: RESULT_BAD_REQUEST);
			g_assert_cmpint(platform_read_registration("i-1", text,
								   strlen(text),
								   &told, NULL),
					==, RESULT_BAD_REQUEST);
			g_assert_null(platform_read_document(text, strlen(text),
							     NULL));
			g_free(text);
		}
}

static struct dialect_answer read_answer(const char *header, const char *value)
{
	static const struct http_parse_hooks hooks = { NULL, NULL };
	struct dialect_answer answer;
	struct http_parse parse;
	struct bytes in = { 0 };

	bytes_append_format(&in,
			    "HTTP/1.1 503 Busy\r\n%s: %s\r\n"
			    "Content-Length: 0\r\n\r\n",
			    header, value);
	http_parse_init(&parse, HTTP_RESPONSE, 65536, &hooks, NULL);
	g_assert_cmpint(http_parse_feed(&parse, &in), ==, HTTP_PARSE_DONE);
	platform_read_answer(&parse.head, &answer);
	http_parse_clear(&parse);
	bytes_clear(&in);
	return answer;
}

/* Odd figures of a server's load are taken for its load. */
static void test_load_values(void)
{
	static const char *const odd[] = {
		"",
		"1",
		"1,2",
		"1,2,",
		"1,2,3,4",
		"-1,0,8",
		"1,-2,8",
		"1,0,-8",
		"0.5,0,8",
		"a,b,c",
		"1;2;3",
		"1e2,0,8",
		"0x1,0,8",
		"99999999999999999999,0,8",
		"0,99999999999999999999,8",
		"0,0,4294967296",
		"nan,0,8",
	};
	struct dialect_answer answer;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++)
		g_assert_false(read_answer("Filberthall-Server-Load", odd[i])
				       .has_load);
	answer = read_answer("Filberthall-Server-Load", "3, 0,8");
	g_assert_true(answer.has_load);
	g_assert_cmpint(answer.running, ==, 3);
	g_assert_cmpint(answer.waiting, ==, 0);
	g_assert_cmpint(answer.slots, ==, 8);
}

/* Odd times and rates of a server are obeyed. */
static void test_answer_values(void)
{
	static const char *const odd[] = {
		"",    "-3",   "nan",
		"inf", "soon", "1.2.3",
		"1 s", "..",   "Sat, 05 Dec 2026 00:00:00 GMT"
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_assert_cmpint(
			read_answer("Retry-After", odd[i]).retry_after_us, <=,
			0);
		g_assert_false(read_answer("Server-Limit", odd[i]).has_limit);
		g_assert_false(
			read_answer("Server-Brittle", odd[i]).has_reject_limit);
	}
	g_assert_cmpint(read_answer("Retry-After", "99999999999999999999")
				.retry_after_us,
			==, INT64_C(1) << 50);
	g_assert_cmpint(read_answer("Retry-After", "0.25").retry_after_us, ==,
			250000);
}

/* A registration as another VM passes it on; whether it is taken. */
static bool is_passed_on(const struct registration *told, int64_t age_us)
{
	struct feed_message message;
	struct bytes body = { 0 };
	bool taken;

	feed_write_registration(&body, told, age_us);
	taken = feed_read(&message, body.data, body.len);
	if (taken)
		feed_clear(&message);
	bytes_clear(&body);
	return taken;
}

/* What can't be used at one VM is used at another that is told of it. */
static void test_passed_on(void)
{
	const struct registration sound = { .id = "i-1",
					    .address = "10.0.0.9:80",
					    .service = "s",
					    .zone = "a",
					    .started_ms = 1,
					    .sequence = 4,
					    .slots = 64 };
	struct registration told = sound;

	g_assert_true(is_passed_on(&sound, 0));
	g_assert_false(is_passed_on(&sound, INT64_MIN));
	g_assert_false(is_passed_on(&sound, INT64_MAX));
	g_strlcpy(told.address, "10.0.0.9:0", sizeof(told.address));
	g_assert_false(is_passed_on(&told, 0));
	g_strlcpy(told.address, "0.0.0.0:80", sizeof(told.address));
	g_assert_false(is_passed_on(&told, 0));
	told = sound;
	told.slots = INT64_MAX;
	g_assert_false(is_passed_on(&told, 0));
	told = sound;
	told.sequence = -1;
	g_assert_false(is_passed_on(&told, 0));
	told = sound;
	told.started_ms = INT64_MAX;
	g_assert_false(is_passed_on(&told, 0));
	told = sound;
	told.cold_ms = INT64_MIN;
	g_assert_false(is_passed_on(&told, 0));
	told = sound;
	told.service[0] = '\0';
	g_assert_false(is_passed_on(&told, 0));
}

/* A document's numbers are cut off at 32 bits, so that 2^32 is none. */
static void test_document_values(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"path_prefix\":\"/\",\"type\":\"idempotent\","
		"\"timeout_ms\":1000,\"priority\":4294967296,"
		"\"max_attempts\":4294967297,\"service\":\"s\"}],"
		"\"services\":[{\"name\":\"s\"}]}";
	struct document *document =
		platform_read_document(text, strlen(text), NULL);

	g_assert_nonnull(document);
	g_assert_cmpint(document->routes[0].tier, >, 1);
	g_assert_cmpint(document->routes[0].attempts, >, 1000);
	document_free(document);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/odd/registration", test_registration_values);
	g_test_add_func("/odd/nested", test_nested);
	g_test_add_func("/odd/load", test_load_values);
	g_test_add_func("/odd/answer", test_answer_values);
	g_test_add_func("/odd/passed-on", test_passed_on);
	g_test_add_func("/odd/document", test_document_values);
	return g_test_run();
}
