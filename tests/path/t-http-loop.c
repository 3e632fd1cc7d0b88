/*
 * The listener and the client of the entry and control roles against peers on
 * loopback sockets that the test writes byte by byte.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/http_client.h"
#include "daemon/http_server.h"

#define HOST "Host: a.example\r\n"

struct bed {
	struct ev_loop *ev;
	struct stream_loop loop;
	struct http_server *server;
	struct http_client *client;
	struct http_exchange *exchange; /* the one that waits for its answer */
	int requests;
	int left;
	/* of the call made last */
	bool over;
	enum result code;
	bool sent;
	int status;
	struct bytes body;
};

static void on_request(void *data, struct http_exchange *exchange)
{
	struct bed *bed = data;

	bed->requests++;
	bed->exchange = exchange;
}

static void on_left(void *data, struct http_exchange *exchange)
{
	struct bed *bed = data;

	bed->left++;
	bed->exchange = NULL;
}

static void bed_start(struct bed *bed)
{
	struct http_limits limits = { 4096, 100, 300, 500 };
	struct http_server_hooks hooks = { on_request, on_left, bed };
	struct http_client_options options = { "Id", 300, 2000, 4 };

	memset(bed, 0, sizeof(*bed));
	bed->ev = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOTIMERFD);
	stream_loop_init(&bed->loop, bed->ev);
	bed->server = http_server_start(&bed->loop, "127.0.0.1:0", &limits,
					&hooks, NULL);
	bed->client = http_client_new(&bed->loop, &options);
	g_assert_nonnull(bed->server);
}

static void bed_end(struct bed *bed)
{
	http_server_stop(bed->server);
	http_client_free(bed->client);
	stream_loop_clear(&bed->loop);
	ev_loop_destroy(bed->ev);
	bytes_clear(&bed->body);
}

/* Let the loop do what it has to do; bounded, and ends early once `done`. */
static void run(struct bed *bed, const bool *done)
{
	int i;

	for (i = 0; i < 3000 && !(done && *done); i++) {
		ev_run(bed->ev, EVRUN_NOWAIT);
		g_usleep(1000);
		if (!done && i > 30)
			break;
	}
}

static int dial(int port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr = { htonl(INADDR_LOOPBACK) } };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
	return fd;
}

static void say(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
			(int)strlen(text));
}

/* What has come so far; "" for nothing, "EOF" once the peer has closed. */
static const char *hear(int fd)
{
	static char text[8192];
	ssize_t n = recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT);

	if (n == 0)
		return "EOF";
	text[n > 0 ? n : 0] = '\0';
	return text;
}

/* A fresh server, and a caller that has said `text`; its socket. */
static int bed_ask(struct bed *bed, const char *text)
{
	int fd;

	bed_start(bed);
	fd = dial(http_server_port(bed->server));
	say(fd, text);
	run(bed, NULL);
	return fd;
}

static void test_kept(void)
{
	struct bed bed;
	int fd;

	fd = bed_ask(&bed, "GET /1 HTTP/1.1\r\n" HOST
			   "\r\nGET /2 HTTP/1.1\r\n" HOST "\r\n");
	g_assert_cmpint(bed.requests, ==, 1);
	http_exchange_answer(bed.exchange, 200, "X: y\r\n", NULL);
	run(&bed, NULL);
	g_assert_cmpstr(hear(fd), ==,
			"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n");
	g_assert_cmpint(bed.requests, ==, 2);
	http_exchange_begin(bed.exchange, 200, NULL);
	http_exchange_piece(bed.exchange, "ab", 2);
	http_exchange_end(bed.exchange);
	run(&bed, NULL);
	g_assert_true(g_str_has_suffix(hear(fd), "2\r\nab\r\n0\r\n\r\n"));
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
	run(&bed, NULL);
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
	run(&bed, NULL);
	g_assert_true(g_str_has_suffix(hear(fd), "2\r\nab\r\n"));
	g_assert_cmpstr(hear(fd), ==, "EOF");
	close(fd);
	bed_end(&bed);
}

static void check_status(const char *text, int status)
{
	char *start = g_strdup_printf("HTTP/1.1 %d ", status);
	struct bed bed;
	int fd;

	fd = bed_ask(&bed, text);
	g_assert_true(g_str_has_prefix(hear(fd), start));
	g_assert_cmpint(bed.requests, ==, 0);
	g_assert_cmpstr(hear(fd), ==, "EOF");
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
	fd = dial(http_server_port(bed.server));
	say(fd, "GET / HT");
	for (i = 0; i < 15; i++)
		run(&bed, NULL);
	g_assert_true(g_str_has_prefix(hear(fd), "HTTP/1.1 408 "));
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
	fd = dial(http_server_port(bed.server));
	idle = dial(http_server_port(bed.server));
	say(fd, "GET / HTTP/1.1\r\n" HOST "\r\n");
	run(&bed, NULL);
	http_server_wind_down(bed.server);
	http_server_close_idle(bed.server);
	http_exchange_answer(bed.exchange, 200, NULL, NULL);
	run(&bed, NULL);
	g_assert_nonnull(strstr(hear(fd), "Connection: close\r\n"));
	g_assert_cmpstr(hear(idle), ==, "EOF");
	close(fd);
	close(idle);
	bed_end(&bed);
}

/* A peer of the client: a listening socket and the address to call. */
struct peer {
	int listener;
	char address[32];
};

static void peer_start(struct peer *peer)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr = { htonl(INADDR_LOOPBACK) } };
	socklen_t len = sizeof(at);

	peer->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(peer->listener, (struct sockaddr *)&at,
			     sizeof(at)),
			==, 0);
	listen(peer->listener, 8);
	getsockname(peer->listener, (struct sockaddr *)&at, &len);
	g_snprintf(peer->address, sizeof(peer->address), "127.0.0.1:%d",
		   ntohs(at.sin_port));
}

static void on_call_head(void *data, const struct http_head *head)
{
	struct bed *bed = data;

	bed->status = head->status;
}

static void on_call_body(void *data, const char *piece, size_t len)
{
	struct bed *bed = data;

	bytes_append(&bed->body, piece, len);
}

static void on_call_end(void *data, enum result code, bool sent)
{
	struct bed *bed = data;

	bed->over = true;
	bed->code = code;
	bed->sent = sent;
}

static const struct http_call_hooks call_hooks = { on_call_head, on_call_body,
						   on_call_end };

static struct http_call *call(struct bed *bed, const char *address,
			      const char *id, bool fresh)
{
	struct bytes head = { 0 };
	struct http_call_request request = { .address = address,
					     .head = &head,
					     .id = id,
					     .fresh = fresh,
					     .timeout_ms = 1000 };
	struct http_call *call;

	bed->over = false;
	bed->status = 0;
	bytes_clear(&bed->body);
	bytes_append_text(&head, "GET / HTTP/1.1\r\n\r\n");
	call = http_call_start(bed->client, &request, &call_hooks, bed);
	bytes_clear(&head);
	return call;
}

static int accept_call(struct bed *bed, struct peer *peer)
{
	run(bed, NULL);
	return accept(peer->listener, NULL, NULL);
}

#define ANSWER(id, body)                                             \
	"HTTP/1.1 200 OK\r\nId: " id "\r\nKeep-Alive: timeout=5\r\n" \
	"Content-Length: 1\r\n\r\n" body

/*
 * A server answers twice: the second copy comes late, where the next answer
 * is due. By position alone the next caller would get another's answer.
 */
static void test_late_copy(void)
{
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	call(&bed, peer.address, "1", false);
	fd = accept_call(&bed, &peer);
	say(fd, ANSWER("1", "a"));
	run(&bed, &bed.over);
	call(&bed, peer.address, "2", false);
	run(&bed, NULL);
	say(fd, ANSWER("1", "a") ANSWER("2", "b"));
	run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	g_assert_cmpstr(bytes_text(&bed.body), ==, "b");
	/* Its connection isn't used again. */
	call(&bed, peer.address, "3", false);
	run(&bed, NULL);
	g_assert_cmpint(http_client_opened(bed.client), ==, 2);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

/* Bytes that nobody asked for spoil a kept connection. */
static void test_unasked_bytes(void)
{
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	call(&bed, peer.address, "1", false);
	fd = accept_call(&bed, &peer);
	say(fd, ANSWER("1", "a"));
	run(&bed, &bed.over);
	say(fd, ANSWER("1", "a"));
	run(&bed, NULL);
	call(&bed, peer.address, "2", false);
	run(&bed, NULL);
	g_assert_cmpint(http_client_opened(bed.client), ==, 2);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

/*
 * A server closes a kept connection after reading the request. It may have
 * run: the client must say so and must not send it again by itself.
 */
static void test_closed_after_reading(void)
{
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	call(&bed, peer.address, "1", false);
	fd = accept_call(&bed, &peer);
	hear(fd);
	say(fd, ANSWER("1", "a"));
	run(&bed, &bed.over);
	call(&bed, peer.address, "2", false);
	run(&bed, NULL);
	g_assert_cmpstr(hear(fd), ==, "GET / HTTP/1.1\r\n\r\n");
	close(fd);
	run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_BACKEND_BROKE);
	g_assert_true(bed.sent);
	g_assert_cmpint(http_client_opened(bed.client), ==, 1);
	close(peer.listener);
	bed_end(&bed);
}

/* Nobody listens: nothing was sent, so another server may have it. */
static void test_no_listener(void)
{
	struct peer peer;
	struct bed bed;

	bed_start(&bed);
	peer_start(&peer);
	close(peer.listener);
	call(&bed, peer.address, "1", false);
	run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_BACKEND_CONNECT);
	g_assert_false(bed.sent);
	bed_end(&bed);
}

/* An answer without a length is whole by FIN, and cut by RST. */
static void test_no_length(void)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc";
	struct linger reset = { 1, 0 };
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	call(&bed, peer.address, "1", true);
	fd = accept_call(&bed, &peer);
	hear(fd);
	say(fd, answer);
	close(fd);
	run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	g_assert_cmpstr(bytes_text(&bed.body), ==, "abc");
	call(&bed, peer.address, "1", true);
	fd = accept_call(&bed, &peer);
	hear(fd);
	say(fd, answer);
	run(&bed, NULL);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_BACKEND_BROKE);
	close(peer.listener);
	bed_end(&bed);
}

/* A server that says nothing ends with the call's time-out. */
static void test_silent(void)
{
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	call(&bed, peer.address, "1", true);
	fd = accept_call(&bed, &peer);
	run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_BACKEND_TIMEOUT);
	g_assert_true(bed.sent);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

/* A caller left: the server sees its connection end at once. */
static void test_cancel(void)
{
	struct http_call *given_up;
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	given_up = call(&bed, peer.address, "1", true);
	fd = accept_call(&bed, &peer);
	hear(fd);
	http_call_cancel(given_up);
	run(&bed, NULL);
	g_assert_cmpstr(hear(fd), ==, "EOF");
	g_assert_false(bed.over);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-server/kept", test_kept);
	g_test_add_func("/http-server/hang-up", test_hang_up);
	g_test_add_func("/http-server/cut", test_cut);
	g_test_add_func("/http-server/bad-requests", test_bad_requests);
	g_test_add_func("/http-server/slow-caller", test_slow_caller);
	g_test_add_func("/http-server/wind-down", test_wind_down);
	g_test_add_func("/http-client/late-copy", test_late_copy);
	g_test_add_func("/http-client/unasked-bytes", test_unasked_bytes);
	g_test_add_func("/http-client/closed-after-reading",
			test_closed_after_reading);
	g_test_add_func("/http-client/no-listener", test_no_listener);
	g_test_add_func("/http-client/no-length", test_no_length);
	g_test_add_func("/http-client/silent", test_silent);
	g_test_add_func("/http-client/cancel", test_cancel);
	return g_test_run();
}
