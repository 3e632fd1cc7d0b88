#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop_bed.h"

#define HOST "Host: a.example\r\n"

static void test_kept(void)
{
	struct bed bed;
	int fd;

	fd = bed_ask(&bed, "GET /1 HTTP/1.1\r\n" HOST
			   "\r\nGET /2 HTTP/1.1\r\n" HOST "\r\n");
	g_assert_cmpint(bed.requests, ==, 1);
	http_exchange_answer(bed.exchange, 200, "X: y\r\n", NULL);
	bed_run(&bed, NULL);
	g_assert_cmpstr(bed_hear(fd), ==,
			"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n");
	g_assert_cmpint(bed.requests, ==, 2);
	http_exchange_begin(bed.exchange, 200, NULL);
	http_exchange_piece(bed.exchange, "ab", 2);
	http_exchange_end(bed.exchange);
	bed_run(&bed, NULL);
	g_assert_true(g_str_has_suffix(bed_hear(fd), "2\r\nab\r\n0\r\n\r\n"));
	close(fd);
	bed_end(&bed);
}

/*
 * A caller hangs up while its request waits and nothing is being written. An
 * engine would go on working for nobody until the first byte of an answer.
 */
static void test_hang_up(void)
{
	struct bed bed;
	int fd;

	fd = bed_ask(&bed, "GET /1 HTTP/1.1\r\n" HOST "\r\n");
	close(fd);
	bed_run(&bed, NULL);
	g_assert_cmpint(bed.left, ==, 1);
	bed_end(&bed);
}

/* A stream that breaks off must not look whole. */
static void test_cut(void)
{
	struct bed bed;
	int fd;

	fd = bed_ask(&bed, "GET /1 HTTP/1.1\r\n" HOST "\r\n");
	http_exchange_begin(bed.exchange, 200, NULL);
	http_exchange_piece(bed.exchange, "ab", 2);
	http_exchange_cut(bed.exchange);
	bed_run(&bed, NULL);
	g_assert_true(g_str_has_suffix(bed_hear(fd), "2\r\nab\r\n"));
	g_assert_cmpstr(bed_hear(fd), ==, "EOF");
	close(fd);
	bed_end(&bed);
}

/* A caller of HTTP/1.0 gets chunks, which it doesn't know. */
static void test_http_1_0(void)
{
	struct bed bed;
	int fd;

	fd = bed_ask(&bed, "GET /1 HTTP/1.0\r\n" HOST "\r\n");
	http_exchange_begin(bed.exchange, 200, NULL);
	http_exchange_piece(bed.exchange, "ab", 2);
	http_exchange_end(bed.exchange);
	bed_run(&bed, NULL);
	g_assert_cmpstr(bed_hear(fd), ==,
			"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab");
	g_assert_cmpstr(bed_hear(fd), ==, "EOF");
	close(fd);
	bed_end(&bed);
}

/* An answer that breaks off looks whole, as it has neither length nor chunks. */
static void test_unframed_cut(void)
{
	struct bed bed;
	char byte;
	int fd;

	fd = bed_ask(&bed, "GET /1 HTTP/1.0\r\n" HOST "\r\n");
	http_exchange_begin(bed.exchange, 200, NULL);
	http_exchange_piece(bed.exchange, "ab", 2);
	bed_run(&bed, NULL);
	g_assert_true(g_str_has_suffix(bed_hear(fd), "ab"));
	http_exchange_cut(bed.exchange);
	bed_run(&bed, NULL);
	g_assert_cmpint(recv(fd, &byte, 1, 0), ==, -1);
	g_assert_cmpint(errno, ==, ECONNRESET);
	close(fd);
	bed_end(&bed);
}

static void check_status(const char *text, int status)
{
	char *start = g_strdup_printf("HTTP/1.1 %d ", status);
	struct bed bed;
	int fd;

	fd = bed_ask(&bed, text);
	g_assert_true(g_str_has_prefix(bed_hear(fd), start));
	g_assert_cmpint(bed.requests, ==, 0);
	g_assert_cmpstr(bed_hear(fd), ==, "EOF");
	g_free(start);
	close(fd);
	bed_end(&bed);
}

static void test_bad_requests(void)
{
	char *large = g_strnfill(5000, 'x');
	char *head = g_strdup_printf("GET / HTTP/1.1\r\n%s", large);

	check_status("POST / HTTP/1.1\r\n" HOST "Content-Length: 4\r\n"
		     "Content-Length: 5\r\n\r\n",
		     400);
	check_status("POST / HTTP/1.1\r\n" HOST "Content-Length: 101\r\n\r\n",
		     413);
	check_status(head, 431);
	g_free(head);
	g_free(large);
}

/* A caller that never finishes its request doesn't hold a place for ever. */
static void test_slow_caller(void)
{
	struct bed bed;
	int fd;
	int i;

	bed_start(&bed);
	fd = bed_dial(http_server_port(bed.server));
	bed_say(fd, "GET / HT");
	for (i = 0; i < 15; i++)
		bed_run(&bed, NULL);
	g_assert_true(g_str_has_prefix(bed_hear(fd), "HTTP/1.1 408 "));
	close(fd);
	bed_end(&bed);
}

/* A planned stop: answers end their connections, idle ones are closed. */
static void test_wind_down(void)
{
	struct bed bed;
	int idle;
	int fd;

	bed_start(&bed);
	fd = bed_dial(http_server_port(bed.server));
	idle = bed_dial(http_server_port(bed.server));
	bed_say(fd, "GET / HTTP/1.1\r\n" HOST "\r\n");
	bed_run(&bed, NULL);
	http_server_wind_down(bed.server);
	http_server_close_idle(bed.server);
	http_exchange_answer(bed.exchange, 200, NULL, NULL);
	bed_run(&bed, NULL);
	g_assert_nonnull(strstr(bed_hear(fd), "Connection: close\r\n"));
	g_assert_cmpstr(bed_hear(idle), ==, "EOF");
	close(fd);
	close(idle);
	bed_end(&bed);
}

static ssize_t read_all(int fd)
{
	char piece[65536];
	ssize_t n;

	while ((n = recv(fd, piece, sizeof(piece), 0)) > 0)
		;
	return n;
}

/* A slow reader's time is up: what it has got of an answer looks whole. */
static void test_unframed_unread(void)
{
	char *large = g_strnfill(8 * 1024 * 1024, 'x');
	struct bed bed;
	int i;
	int fd;

	fd = bed_ask(&bed, "GET /1 HTTP/1.0\r\n" HOST "\r\n");
	http_exchange_begin(bed.exchange, 200, NULL);
	http_exchange_piece(bed.exchange, large, strlen(large));
	http_exchange_end(bed.exchange);
	for (i = 0; i < 1000 && http_server_view(bed.server).open; i++)
		bed_run(&bed, NULL);
	g_assert_cmpint(read_all(fd), ==, -1);
	g_assert_cmpint(errno, ==, ECONNRESET);
	close(fd);
	g_free(large);
	bed_end(&bed);
}

/* A budget of half a MiB, of which two bodies of 200,000 bytes are too much. */
static void start_short(struct bed *bed, struct memory *memory)
{
	const struct http_limits limits = { 4096, 1000000, 3000, 500 };

	bed_start(bed);
	memory_init(memory, 1);
	bed->loop.memory = memory;
	http_server_set_limits(bed->server, &limits);
}

static int ask(struct bed *bed, const char *text)
{
	int fd = bed_dial(http_server_port(bed->server));

	bed_say(fd, text);
	bed_run(bed, NULL);
	return fd;
}

#define BODY "POST / HTTP/1.1\r\n" HOST "Content-Length: 200000\r\n"

/* Bodies are read for which there is no memory. */
static void test_no_memory(void)
{
	struct memory memory;
	struct bed bed;
	char *piece = g_strnfill(100000, 'x');
	char *chunk = g_strdup_printf("POST / HTTP/1.1\r\n" HOST
				      "Transfer-Encoding: chunked\r\n\r\n"
				      "186a0\r\n%s\r\n186a0\r\n",
				      piece);
	const char *heard;
	int held;
	int fd;

	start_short(&bed, &memory);
	held = ask(&bed, BODY "\r\nx");
	g_assert_cmpstr(bed_hear(held), ==, "");
	fd = ask(&bed, BODY "\r\n");
	heard = bed_hear(fd);
	g_assert_true(g_str_has_prefix(heard, "HTTP/1.1 503 "));
	g_assert_nonnull(strstr(heard, "\r\nRetry-After: "));
	g_assert_cmpstr(bed_hear(fd), ==, "EOF");
	close(fd);
	fd = ask(&bed, BODY "Expect: 100-continue\r\n\r\n");
	g_assert_true(g_str_has_prefix(bed_hear(fd), "HTTP/1.1 503 "));
	close(fd);
	fd = ask(&bed, chunk);
	g_assert_cmpstr(bed_hear(fd), ==, "");
	bed_say(fd, piece);
	bed_run(&bed, NULL);
	g_assert_true(g_str_has_prefix(bed_hear(fd), "HTTP/1.1 503 "));
	close(fd);
	g_assert_cmpint(bed.requests, ==, 0);
	fd = ask(&bed, "GET / HTTP/1.1\r\n" HOST "\r\n");
	g_assert_cmpint(bed.requests, ==, 1);
	g_assert_cmpint(memory_view(&memory).held, <, 250000);
	close(fd);
	close(held);
	g_free(chunk);
	g_free(piece);
	bed_end(&bed);
	g_assert_cmpint(memory_view(&memory).held, ==, 0);
}

/* Whoever leaves a body unfinished keeps others out until its time is up. */
static void test_unfinished_makes_room(void)
{
	struct memory memory;
	struct bed bed;
	int held;
	int fd;

	start_short(&bed, &memory);
	held = ask(&bed, BODY "\r\nx");
	g_assert_false(http_server_close_longest_held(bed.server, 60000));
	g_assert_true(http_server_close_longest_held(bed.server, 0));
	bed_run(&bed, NULL);
	g_assert_true(g_str_has_prefix(bed_hear(held), "HTTP/1.1 503 "));
	fd = ask(&bed, BODY "\r\nx");
	g_assert_cmpstr(bed_hear(fd), ==, "");
	close(fd);
	close(held);
	bed_end(&bed);
}

/* Answers that nobody reads keep others out. */
static void test_unread_makes_room(void)
{
	struct bytes large = { 0 };
	struct memory memory;
	struct bed bed;
	int fd;

	start_short(&bed, &memory);
	bytes_reserve(&large, 8 * 1024 * 1024);
	large.len = 8 * 1024 * 1024;
	memset(large.data, 'x', large.len);
	fd = ask(&bed, "GET / HTTP/1.1\r\n" HOST "\r\n");
	http_exchange_answer(bed.exchange, 200, NULL, &large);
	bed_run(&bed, NULL);
	g_assert_cmpint(memory_view(&memory).held, >, 1024 * 1024);
	g_assert_true(http_server_close_longest_held(bed.server, 0));
	g_assert_false(http_server_close_longest_held(bed.server, 0));
	g_assert_cmpint(memory_view(&memory).held, ==, 0);
	g_assert_cmpint(read_all(fd), ==, -1);
	g_assert_cmpint(errno, ==, ECONNRESET);
	close(fd);
	bytes_clear(&large);
	bed_end(&bed);
}

/* Requests behind the one being answered pile up. */
static void test_pipelined(void)
{
	char *piece = g_strnfill(100000, 'x');
	struct memory memory;
	struct bed bed;
	int i;
	int fd;

	start_short(&bed, &memory);
	fd = ask(&bed, "GET / HTTP/1.1\r\n" HOST "\r\n" BODY "\r\n");
	for (i = 0; i < 10; i++)
		if (send(fd, piece, strlen(piece), MSG_DONTWAIT) < 0)
			break;
	bed_run(&bed, NULL);
	g_assert_cmpint(bed.requests, ==, 1);
	g_assert_cmpint(memory_view(&memory).held, <, 300000);
	close(fd);
	g_free(piece);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-server/kept", test_kept);
	g_test_add_func("/http-server/hang-up", test_hang_up);
	g_test_add_func("/http-server/cut", test_cut);
	g_test_add_func("/http-server/http-1-0", test_http_1_0);
	g_test_add_func("/http-server/unframed-cut", test_unframed_cut);
	g_test_add_func("/http-server/bad-requests", test_bad_requests);
	g_test_add_func("/http-server/slow-caller", test_slow_caller);
	g_test_add_func("/http-server/wind-down", test_wind_down);
	g_test_add_func("/http-server/unframed-unread", test_unframed_unread);
	g_test_add_func("/http-server/no-memory", test_no_memory);
	g_test_add_func("/http-server/unfinished-makes-room",
			test_unfinished_makes_room);
	g_test_add_func("/http-server/unread-makes-room",
			test_unread_makes_room);
	g_test_add_func("/http-server/pipelined", test_pipelined);
	return g_test_run();
}
