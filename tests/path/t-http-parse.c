#include <glib.h>
#include <string.h>

#include "daemon/http/http_parse.h"

struct seen {
	int heads;
	struct bytes body;
};

static bool on_head(void *data, const struct http_head *head)
{
	struct seen *seen = data;

	seen->heads++;
	return true;
}

static bool on_body(void *data, const char *piece, size_t len)
{
	struct seen *seen = data;

	bytes_append(&seen->body, piece, len);
	return true;
}

static const struct http_parse_hooks hooks = { on_head, on_body };

/* Feed `text` in pieces of `step` bytes; what is left unread in `rest`. */
static enum http_parse_state feed(struct http_parse *parse, const char *text,
				  size_t len, size_t step, struct bytes *in)
{
	enum http_parse_state state = HTTP_PARSE_HEAD;
	size_t at;

	for (at = 0;
	     at < len && state != HTTP_PARSE_DONE && state != HTTP_PARSE_BAD;
	     at += step) {
		bytes_append(in, text + at, len - at < step ? len - at : step);
		state = http_parse_feed(parse, in);
	}
	return state;
}

static enum http_parse_state read_request(const char *text, size_t len,
					  size_t step, struct seen *seen)
{
	struct http_parse parse;
	struct bytes in = { 0 };
	enum http_parse_state state;

	memset(seen, 0, sizeof(*seen));
	http_parse_init(&parse, HTTP_REQUEST, 4096, &hooks, seen);
	state = feed(&parse, text, len, step, &in);
	http_parse_clear(&parse);
	bytes_clear(&in);
	return state;
}

#define HOST "Host: a.example\r\n"

/*
 * What two readers could take for different requests. If one of these were
 * passed on, the difference would run at a backend server as a request that
 * nobody sent, with another caller's rights.
 */
static void test_refused(void)
{
	static const char *const texts[] = {
		"POST / HTTP/1.1\r\n" HOST
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\n" HOST
		"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"POST / HTTP/1.1\r\n" HOST
		"Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\n" HOST "Content-Length: +4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\n" HOST "Content-Length: 4, 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\n" HOST "Content-Length : 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\n" HOST
		"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\n" HOST
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\n" HOST
		"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n"
		"\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\n" HOST
		"Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\n" HOST "\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a.example\nX: y\r\n\r\n",
		"GET / HTTP/1.1\r\n" HOST "X: a\rb\r\n\r\n",
		"GET / HTTP/1.1\r\n" HOST HOST "\r\n",
		"GET / HTTP/1.1\r\nX: y\r\n\r\n",
		"GET  / HTTP/1.1\r\n" HOST "\r\n",
		"GET http://a.example/ HTTP/1.1\r\n" HOST "\r\n",
		"GET / HTTP/2.0\r\n" HOST "\r\n",
		"GET /\x7f HTTP/1.1\r\n" HOST "\r\n",
		"CONNECT / HTTP/1.1\r\n" HOST "Content-Length: 4\r\n\r\nbody",
		"GET / HTTP/1.1\r\n" HOST ": x\r\n\r\n",
		"\x16\x03\x01\x02\r\n\r\n",
	};
	struct seen seen;
	size_t i;
	size_t step;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		for (step = 1; step < 200; step += 66) {
			enum http_parse_state state =
				read_request(texts[i], strlen(texts[i]), step,
					     &seen);

			if (state != HTTP_PARSE_BAD || seen.heads)
				g_error("taken: %s", texts[i]);
			bytes_clear(&seen.body);
		}
	}
}

/* An offer to upgrade, which nobody has to take, is refused for its body. */
static void test_upgrade_offered(void)
{
	static const char text[] = "POST / HTTP/1.1\r\n" HOST
				   "Connection: Upgrade\r\nUpgrade: h2c\r\n"
				   "Content-Length: 4\r\n\r\nbody";
	struct seen seen;
	size_t step;

	for (step = 1; step < 200; step += 66) {
		g_assert_cmpint(read_request(text, strlen(text), step, &seen),
				==, HTTP_PARSE_DONE);
		g_assert_cmpstr(bytes_text(&seen.body), ==, "body");
		bytes_clear(&seen.body);
	}
}

static void test_nul(void)
{
	static const char text[] = "GET / HTTP/1.1\r\n" HOST "X: a\0b\r\n\r\n";
	struct seen seen;

	g_assert_cmpint(read_request(text, sizeof(text) - 1, 100, &seen), ==,
			HTTP_PARSE_BAD);
}

static void test_taken(void)
{
	static const char *const texts[] = {
		"POST /a?b=c HTTP/1.1\r\n" HOST "Content-Length: 4\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
		"2\r\nab\r\n2;x=y\r\ncd\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\n" HOST
		"transfer-encoding:  Chunked \r\n\r\n"
		"4\r\nabcd\r\n0\r\nTrailer: x\r\n\r\n",
	};
	struct seen seen;
	size_t i;
	size_t step;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		for (step = 1; step < 200; step += 33) {
			g_assert_cmpint(read_request(texts[i], strlen(texts[i]),
						     step, &seen),
					==, HTTP_PARSE_DONE);
			g_assert_cmpstr(bytes_text(&seen.body), ==, "abcd");
			bytes_clear(&seen.body);
		}
	}
}

/* A request behind another one stays unread until its turn. */
static void test_pipelined(void)
{
	static const char text[] = "GET /1 HTTP/1.1\r\n" HOST "\r\n"
				   "GET /2 HTTP/1.1\r\n" HOST "\r\n";
	struct http_parse parse;
	struct bytes in = { 0 };
	struct seen seen = { 0 };

	http_parse_init(&parse, HTTP_REQUEST, 4096, &hooks, &seen);
	bytes_append(&in, text, strlen(text));
	g_assert_cmpint(http_parse_feed(&parse, &in), ==, HTTP_PARSE_DONE);
	g_assert_cmpstr(parse.head.target, ==, "/1");
	g_assert_cmpuint(in.len, ==, strlen(text) / 2);
	http_parse_next(&parse);
	g_assert_cmpint(http_parse_feed(&parse, &in), ==, HTTP_PARSE_DONE);
	g_assert_cmpstr(parse.head.target, ==, "/2");
	g_assert_cmpuint(in.len, ==, 0);
	http_parse_clear(&parse);
	bytes_clear(&in);
}

static void test_head_limit(void)
{
	struct http_parse parse;
	struct bytes in = { 0 };
	struct seen seen = { 0 };
	char *text = g_strnfill(5000, 'x');

	http_parse_init(&parse, HTTP_REQUEST, 4096, &hooks, &seen);
	bytes_append_text(&in, "GET / HTTP/1.1\r\nX: ");
	bytes_append_text(&in, text);
	g_assert_cmpint(http_parse_feed(&parse, &in), ==, HTTP_PARSE_BAD);
	g_assert_true(parse.too_large);
	g_free(text);
	http_parse_clear(&parse);
	bytes_clear(&in);
}

static enum http_parse_state read_answer(const char *text, bool eof,
					 struct seen *seen)
{
	struct http_parse parse;
	struct bytes in = { 0 };
	enum http_parse_state state;

	memset(seen, 0, sizeof(*seen));
	http_parse_init(&parse, HTTP_RESPONSE, 4096, &hooks, seen);
	state = feed(&parse, text, strlen(text), 7, &in);
	if (eof && state != HTTP_PARSE_DONE)
		state = http_parse_eof(&parse);
	http_parse_clear(&parse);
	bytes_clear(&in);
	return state;
}

/* An answer without a length ends with its connection; a short one doesn't. */
static void test_answers(void)
{
	struct seen seen;

	g_assert_cmpint(read_answer("HTTP/1.1 200 OK\r\n\r\nabcd", true, &seen),
			==, HTTP_PARSE_DONE);
	g_assert_cmpstr(bytes_text(&seen.body), ==, "abcd");
	bytes_clear(&seen.body);
	g_assert_cmpint(read_answer("HTTP/1.1 200 OK\r\nContent-Length: 9"
				    "\r\n\r\nabcd",
				    true, &seen),
			==, HTTP_PARSE_BAD);
	bytes_clear(&seen.body);
	g_assert_cmpint(read_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
				    "chunked\r\n\r\n4\r\nabcd\r\n",
				    true, &seen),
			==, HTTP_PARSE_BAD);
	bytes_clear(&seen.body);
	g_assert_cmpint(read_answer("HTTP/1.1 200 O", true, &seen), ==,
			HTTP_PARSE_BAD);
	g_assert_cmpint(read_answer("no answer at all\r\n\r\n", false, &seen),
			==, HTTP_PARSE_BAD);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-parse/upgrade-offered", test_upgrade_offered);
	g_test_add_func("/http-parse/refused", test_refused);
	g_test_add_func("/http-parse/nul", test_nul);
	g_test_add_func("/http-parse/taken", test_taken);
	g_test_add_func("/http-parse/pipelined", test_pipelined);
	g_test_add_func("/http-parse/head-limit", test_head_limit);
	g_test_add_func("/http-parse/answers", test_answers);
	return g_test_run();
}
