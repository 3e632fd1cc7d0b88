#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop_bed.h"

/* A peer of the client: a listening socket and the address to call. */
struct peer {
	int listener;
	char address[32];
};

/* A port that refuses connections as long as the test holds it. */
static void peer_bind(struct peer *peer)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr = { htonl(INADDR_LOOPBACK) } };
	socklen_t len = sizeof(at);

	peer->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(peer->listener, (struct sockaddr *)&at,
			     sizeof(at)),
			==, 0);
	getsockname(peer->listener, (struct sockaddr *)&at, &len);
	g_snprintf(peer->address, sizeof(peer->address), "127.0.0.1:%d",
		   ntohs(at.sin_port));
}

static void peer_start(struct peer *peer)
{
	peer_bind(peer);
	listen(peer->listener, 8);
}

static void on_call_head(void *data, const struct http_head *head)
{
	struct bed *bed = data;

	bed->status = head->status;
	if (bed->pauses)
		http_call_pause(bed->pauses);
	bed->pauses = NULL;
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
	bed_run(bed, NULL);
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
	bed_say(fd, ANSWER("1", "a"));
	bed_run(&bed, &bed.over);
	call(&bed, peer.address, "2", false);
	bed_run(&bed, NULL);
	bed_say(fd, ANSWER("1", "a") ANSWER("2", "b"));
	bed_run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	g_assert_cmpstr(bytes_text(&bed.body), ==, "b");
	/* Its connection isn't used again. */
	call(&bed, peer.address, "3", false);
	bed_run(&bed, NULL);
	g_assert_cmpint(http_client_opened(bed.client), ==, 2);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

/* Times to keep a connection that no clock can hold overflow. */
static void test_kept_for_ever(void)
{
	static const char *const times[] = { "9223372036854775807",
					     "99999999999999999999",
					     "-9223372036854775808" };
	struct peer peer;
	struct bed bed;
	char answer[160];
	size_t i;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	for (i = 0; i < G_N_ELEMENTS(times); i++) {
		g_snprintf(answer, sizeof(answer),
			   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1"
			   "\r\nKeep-Alive: timeout=%s\r\n\r\na",
			   times[i]);
		call(&bed, peer.address, "1", false);
		if (!i)
			fd = accept_call(&bed, &peer);
		else
			bed_run(&bed, NULL);
		bed_say(fd, answer);
		bed_run(&bed, &bed.over);
		g_assert_cmpint(bed.code, ==, RESULT_OK);
	}
	call(&bed, peer.address, "1", false);
	bed_run(&bed, NULL);
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
	bed_say(fd, ANSWER("1", "a"));
	bed_run(&bed, &bed.over);
	bed_say(fd, ANSWER("1", "a"));
	bed_run(&bed, NULL);
	call(&bed, peer.address, "2", false);
	bed_run(&bed, NULL);
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
	bed_hear(fd);
	bed_say(fd, ANSWER("1", "a"));
	bed_run(&bed, &bed.over);
	call(&bed, peer.address, "2", false);
	bed_run(&bed, NULL);
	g_assert_cmpstr(bed_hear(fd), ==, "GET / HTTP/1.1\r\n\r\n");
	close(fd);
	bed_run(&bed, &bed.over);
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
	peer_bind(&peer);
	call(&bed, peer.address, "1", false);
	bed_run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_BACKEND_CONNECT);
	g_assert_false(bed.sent);
	close(peer.listener);
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
	bed_hear(fd);
	bed_say(fd, answer);
	close(fd);
	bed_run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	g_assert_cmpstr(bytes_text(&bed.body), ==, "abc");
	call(&bed, peer.address, "1", true);
	fd = accept_call(&bed, &peer);
	bed_hear(fd);
	bed_say(fd, answer);
	bed_run(&bed, NULL);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	bed_run(&bed, &bed.over);
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
	bed_run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_BACKEND_TIMEOUT);
	g_assert_true(bed.sent);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

/* Bytes that the client may read beside an answer, and what is on its way. */
#define ENDLESS_MOST (1024 * 1024)

/* Says `text` again and again until the client closes; how many bytes. */
static size_t say_endlessly(struct bed *bed, int fd, const char *text)
{
	size_t said = 0;
	ssize_t n;

	while (!bed->over && said < 8 * ENDLESS_MOST) {
		n = send(fd, text, strlen(text), MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n > 0)
			said += (size_t)n;
		if (said % 4096 < strlen(text) || n <= 0)
			ev_run(bed->ev, EVRUN_NOWAIT);
	}
	return said;
}

static void check_endless(const char *first, const char *again)
{
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	call(&bed, peer.address, "1", true);
	fd = accept_call(&bed, &peer);
	bed_say(fd, first);
	g_assert_cmpint(say_endlessly(&bed, fd, again), <=, ENDLESS_MOST);
	g_assert_true(bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_BACKEND_BROKE);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

/* Bytes without end that belong to no answer: the call never ends. */
static void test_endless(void)
{
	check_endless("", "junk");
	check_endless("HTTP/1.1 200 OK\r\n", "X-Y: z\r\n");
	check_endless("", "HTTP/1.1 100 Continue\r\n\r\n");
	check_endless("", ANSWER("other", "a"));
	check_endless("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "junk");
	check_endless("HTTP/1.1 200 OK\r\nId: 1\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n",
		      "0000");
	check_endless("HTTP/1.1 200 OK\r\nId: 1\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n0\r\n",
		      "X-Y: z\r\n");
}

/* The same, a few bytes at a time: the call's own time ends it. */
static void test_endless_slow(void)
{
	struct peer peer;
	struct bed bed;
	int64_t from_us;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	call(&bed, peer.address, "1", true);
	fd = accept_call(&bed, &peer);
	from_us = g_get_monotonic_time();
	while (!bed.over && g_get_monotonic_time() - from_us < 20000000) {
		bed_say(fd, "HTTP/1.1 100 Continue\r\n\r\n");
		bed_run(&bed, &bed.over);
	}
	g_assert_true(bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_BACKEND_TIMEOUT);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

struct outcome {
	bool told;
	bool stands;
};

static void on_connection(void *data, const char *address, bool stands)
{
	struct outcome *outcome = data;

	outcome->told = true;
	outcome->stands = stands;
}

/* A probe that isn't told of, or whose connection stays open. */
static void test_probe(void)
{
	struct outcome outcome = { false, false };
	struct peer refusing;
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	peer_bind(&refusing);
	http_client_watch(bed.client, on_connection, &outcome);
	http_client_probe(bed.client, peer.address);
	bed_run(&bed, &outcome.told);
	g_assert_true(outcome.stands);
	fd = accept(peer.listener, NULL, NULL);
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpstr(bed_hear(fd), ==, "EOF");
	outcome.told = false;
	http_client_probe(bed.client, refusing.address);
	bed_run(&bed, &outcome.told);
	g_assert_true(outcome.told);
	g_assert_false(outcome.stands);
	http_client_probe(bed.client, peer.address);
	close(fd);
	close(peer.listener);
	close(refusing.listener);
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
	bed_hear(fd);
	http_call_cancel(given_up);
	bed_run(&bed, NULL);
	g_assert_cmpstr(bed_hear(fd), ==, "EOF");
	g_assert_false(bed.over);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

#define UPLOAD_BYTES (4 * 1024 * 1024)

/* A call with a body that its server doesn't read yet. */
static int upload(struct bed *bed, struct peer *peer, struct bytes *body)
{
	struct bytes head = { 0 };
	struct http_call_request request = { .address = peer->address,
					     .head = &head,
					     .lasting_body = body,
					     .id = "1",
					     .timeout_ms = 3000 };

	bed->over = false;
	bytes_clear(&bed->body);
	bytes_reserve(body, UPLOAD_BYTES);
	memset(body->data, 'u', UPLOAD_BYTES);
	body->len = UPLOAD_BYTES;
	bytes_append_format(&head,
			    "POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
			    UPLOAD_BYTES);
	http_call_start(bed->client, &request, &call_hooks, bed);
	bytes_clear(&head);
	return accept_call(bed, peer);
}

static size_t drain(struct bed *bed, int fd)
{
	char piece[65536];
	size_t total = 0;
	ssize_t n;
	int i;

	for (i = 0; i < 100; i++) {
		while ((n = recv(fd, piece, sizeof(piece), MSG_DONTWAIT)) > 0)
			total += (size_t)n;
		ev_run(bed->ev, EVRUN_NOWAIT);
		g_usleep(100);
	}
	return total;
}

/* A body stands twice while it is sent, and again on the kept connection. */
static void test_lasting_body(void)
{
	struct bytes body = { 0 };
	struct memory memory;
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	memory_init(&memory, 64);
	bed.loop.memory = &memory;
	peer_start(&peer);
	fd = upload(&bed, &peer, &body);
	g_assert_cmpint(memory_view(&memory).most, <, 512 * 1024);
	g_assert_cmpuint(drain(&bed, fd), >, UPLOAD_BYTES);
	bed_say(fd, ANSWER("1", "a"));
	bed_run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	g_assert_cmpint(memory_view(&memory).held, <, 64 * 1024);
	call(&bed, peer.address, "2", false);
	bed_run(&bed, NULL);
	g_assert_cmpint(http_client_opened(bed.client), ==, 1);
	close(fd);
	close(peer.listener);
	bytes_clear(&body);
	bed_end(&bed);
}

/* A connection whose answer wasn't read on is kept, and never read again. */
static void test_paused(void)
{
	struct http_call *paused;
	struct peer peer;
	struct bed bed;
	int again;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	paused = call(&bed, peer.address, "1", false);
	fd = accept_call(&bed, &peer);
	http_call_pause(paused);
	bed_say(fd, ANSWER("1", "a"));
	bed_run(&bed, NULL);
	g_assert_false(bed.over);
	http_call_go_on(paused);
	bed_run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	paused = call(&bed, peer.address, "2", false);
	bed.pauses = paused;
	bed_run(&bed, NULL);
	bed_say(fd, ANSWER("2", "b"));
	bed_run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	call(&bed, peer.address, "3", false);
	bed_run(&bed, NULL);
	g_assert_cmpint(http_client_opened(bed.client), ==, 2);
	again = accept_call(&bed, &peer);
	bed_say(again, ANSWER("3", "c"));
	bed_run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	close(again);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

/* What is left of a body would be read as the next request. */
static void test_early_answer(void)
{
	struct bytes body = { 0 };
	struct peer peer;
	struct bed bed;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	fd = upload(&bed, &peer, &body);
	bed_say(fd, ANSWER("1", "a"));
	bed_run(&bed, &bed.over);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	bytes_clear(&body);
	call(&bed, peer.address, "2", false);
	bed_run(&bed, NULL);
	g_assert_cmpint(http_client_opened(bed.client), ==, 2);
	close(fd);
	close(peer.listener);
	bed_end(&bed);
}

#define NO_LENGTH "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"

/* How a server may end an answer before it has read the request. */
static void end_by_reset(int fd)
{
	struct linger reset = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
}

static void end_unread(int fd)
{
	close(fd);
}

static void end_by_fin(int fd)
{
	shutdown(fd, SHUT_WR);
}

/* A part of an answer looks whole that was cut while its request was sent. */
static void check_cut_in_upload(void (*end)(int fd), size_t first, bool seen)
{
	struct bytes body = { 0 };
	struct peer peer;
	struct bed bed;
	char byte;
	size_t i;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	fd = upload(&bed, &peer, &body);
	for (i = 0; i < first; i++)
		g_assert_cmpint(recv(fd, &byte, 1, 0), ==, 1);
	bed_say(fd, NO_LENGTH);
	if (seen)
		bed_run(&bed, NULL);
	end(fd);
	bed_run(&bed, &bed.over);
	g_test_message("end %s, %zu read, %s: code %d",
		       end == end_by_reset ? "by RST"
		       : end == end_unread ? "unread"
					   : "by FIN",
		       first, seen ? "seen" : "unseen", bed.code);
	if (bed.code != RESULT_BACKEND_BROKE || !bed.sent)
		g_test_fail();
	close(peer.listener);
	bytes_clear(&body);
	bed_end(&bed);
}

static void test_cut_in_upload(void)
{
	void (*const ends[])(int fd) = { end_by_reset, end_unread, end_by_fin };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		check_cut_in_upload(ends[i], 0, false);
		check_cut_in_upload(ends[i], 0, true);
		check_cut_in_upload(ends[i], 100000, false);
		check_cut_in_upload(ends[i], 100000, true);
	}
}

/* A status that is none reaches the caller as an answer. */
static void test_no_status(void)
{
	static const char *const statuses[] = { "000", "0",   "099", "101",
						"600", "999", "2x0", "1200",
						"20",  "-20", "" };
	struct peer peer;
	struct bed bed;
	char *answer;
	size_t i;
	int fd;

	bed_start(&bed);
	peer_start(&peer);
	for (i = 0; i < G_N_ELEMENTS(statuses); i++) {
		call(&bed, peer.address, "1", true);
		fd = accept_call(&bed, &peer);
		bed_hear(fd);
		answer = g_strdup_printf("HTTP/1.1 %s No\r\nId: 1\r\n"
					 "Content-Length: 1\r\n\r\na",
					 statuses[i]);
		bed_say(fd, answer);
		bed_run(&bed, NULL);
		if (!bed.over || bed.code != RESULT_BACKEND_BROKE || bed.status)
			g_error("status %s: over %d, code %d, head %d",
				statuses[i], bed.over, bed.code, bed.status);
		bed_run(&bed, &bed.over);
		g_free(answer);
		close(fd);
	}
	close(peer.listener);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-client/kept-for-ever", test_kept_for_ever);
	g_test_add_func("/http-client/late-copy", test_late_copy);
	g_test_add_func("/http-client/unasked-bytes", test_unasked_bytes);
	g_test_add_func("/http-client/closed-after-reading",
			test_closed_after_reading);
	g_test_add_func("/http-client/no-listener", test_no_listener);
	g_test_add_func("/http-client/no-length", test_no_length);
	g_test_add_func("/http-client/silent", test_silent);
	g_test_add_func("/http-client/cancel", test_cancel);
	g_test_add_func("/http-client/endless", test_endless);
	g_test_add_func("/http-client/endless-slow", test_endless_slow);
	g_test_add_func("/http-client/probe", test_probe);
	g_test_add_func("/http-client/lasting-body", test_lasting_body);
	g_test_add_func("/http-client/paused", test_paused);
	g_test_add_func("/http-client/early-answer", test_early_answer);
	g_test_add_func("/http-client/cut-in-upload", test_cut_in_upload);
	g_test_add_func("/http-client/no-status", test_no_status);
	return g_test_run();
}
