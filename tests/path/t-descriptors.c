/* What the listener and the client do without a free descriptor. */
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "loop_bed.h"

/* How often a listener that rests is looked at. */
#define RETRY_US 50000

#define REQUEST "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

/* From now on the process gets no further descriptor; the limit before. */
static rlim_t take_all_descriptors(void)
{
	int lowest = dup(STDERR_FILENO);
	struct rlimit limit;
	rlim_t before;

	close(lowest);
	getrlimit(RLIMIT_NOFILE, &limit);
	before = limit.rlim_cur;
	limit.rlim_cur = (rlim_t)lowest;
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	return before;
}

static void give_back(rlim_t before)
{
	struct rlimit limit;

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = before;
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
}

static int dial(struct bed *bed)
{
	int fd = bed_dial(http_server_port(bed->server));

	bed_run(bed, NULL);
	return fd;
}

static bool is_closed(int fd)
{
	return !strcmp(bed_hear(fd), "EOF");
}

/* Runs the loop until so many requests have come, or for some three seconds. */
static void run_until_asked(struct bed *bed, int requests)
{
	int i;

	for (i = 0; i < 100 && bed->requests < requests; i++)
		bed_run(bed, NULL);
	g_assert_cmpint(bed->requests, ==, requests);
}

static struct http_server_view view(const struct bed *bed)
{
	return http_server_view(bed->server);
}

/* Idle connections keep new callers out. */
static void test_idle_make_room(void)
{
	struct bed bed;
	int held[3];
	int fd;
	int i;

	bed_start(&bed);
	http_server_set_most(bed.server, 3);
	for (i = 0; i < 3; i++)
		held[i] = dial(&bed);
	fd = dial(&bed);
	bed_say(fd, REQUEST);
	run_until_asked(&bed, 1);
	http_exchange_answer(bed.exchange, 200, NULL, NULL);
	bed_run(&bed, NULL);
	g_assert_true(g_str_has_prefix(bed_hear(fd), "HTTP/1.1 200 "));
	g_assert_true(is_closed(held[0]));
	g_assert_false(is_closed(held[1]));
	g_assert_cmpint(view(&bed).open, ==, 3);
	g_assert_false(view(&bed).full);
	for (i = 0; i < 3; i++)
		close(held[i]);
	close(fd);
	bed_end(&bed);
}

/* A connection whose request runs is closed for a new caller. */
static void test_busy_are_kept(void)
{
	struct bed bed;
	int busy;
	int fd;

	bed_start(&bed);
	http_server_set_most(bed.server, 1);
	busy = dial(&bed);
	g_assert_false(view(&bed).full);
	bed_say(busy, REQUEST);
	run_until_asked(&bed, 1);
	fd = dial(&bed);
	g_assert_true(view(&bed).full);
	bed_say(fd, REQUEST);
	bed_run(&bed, NULL);
	g_assert_cmpint(bed.requests, ==, 1);
	http_exchange_answer(bed.exchange, 200, NULL, NULL);
	run_until_asked(&bed, 2);
	g_assert_true(g_str_has_prefix(bed_hear(busy), "HTTP/1.1 200 "));
	g_assert_true(is_closed(busy));
	g_assert_false(view(&bed).full);
	http_exchange_answer(bed.exchange, 200, NULL, NULL);
	close(busy);
	close(fd);
	bed_end(&bed);
}

/* A listener stays full after the caller who waited has left. */
static void test_waiting_caller_leaves(void)
{
	struct bed bed;
	int busy;
	int fd;

	bed_start(&bed);
	http_server_set_most(bed.server, 1);
	busy = dial(&bed);
	bed_say(busy, REQUEST);
	run_until_asked(&bed, 1);
	fd = dial(&bed);
	g_assert_true(view(&bed).full);
	close(fd);
	http_exchange_answer(bed.exchange, 200, NULL, NULL);
	close(busy);
	bed_run(&bed, NULL);
	bed_run(&bed, NULL);
	bed_run(&bed, NULL);
	g_assert_false(view(&bed).full);
	bed_end(&bed);
}

/* An answer that its caller hasn't read yet is cut off for a new caller. */
static void test_unwritten_answers_are_kept(void)
{
	struct bytes body = { 0 };
	struct bed bed;
	size_t len = 16 * 1024 * 1024;
	char *text = xcalloc(1, len);
	size_t got = 0;
	int slow;
	int fd;
	ssize_t n;
	int i;

	bytes_append(&body, text, len);
	bed_start(&bed);
	http_server_set_most(bed.server, 1);
	slow = dial(&bed);
	bed_say(slow, REQUEST);
	run_until_asked(&bed, 1);
	http_exchange_answer(bed.exchange, 200, NULL, &body);
	fd = dial(&bed);
	g_assert_true(view(&bed).full);
	for (i = 0; i < 100000 && got < len; i++) {
		n = recv(slow, text, len, MSG_DONTWAIT);
		g_assert_cmpint(n, !=, 0);
		got += n > 0 ? (size_t)n : 0;
		ev_run(bed.ev, EVRUN_NOWAIT);
	}
	g_assert_cmpint(got, >=, len);
	bytes_clear(&body);
	g_free(text);
	close(slow);
	close(fd);
	bed_end(&bed);
}

/* Without a descriptor, accept errors use up the processor. */
static void test_no_spin(void)
{
	struct bed bed;
	gint64 started_us;
	gint64 tries;
	rlim_t before;
	int busy;
	int fd;
	int i;

	bed_start(&bed);
	busy = dial(&bed);
	bed_say(busy, REQUEST);
	run_until_asked(&bed, 1);
	fd = bed_dial(http_server_port(bed.server));
	bed_say(fd, REQUEST);
	before = take_all_descriptors();
	started_us = g_get_monotonic_time();
	for (i = 0; i < 10; i++)
		bed_run(&bed, NULL);
	tries = 2 + (g_get_monotonic_time() - started_us) / RETRY_US;
	give_back(before);
	g_assert_cmpint(view(&bed).accepted.error, ==, EMFILE);
	g_assert_cmpint(view(&bed).accepted.failed, >=, 1);
	g_assert_cmpint(view(&bed).accepted.failed, <=, tries);
	g_assert_true(view(&bed).full);
	run_until_asked(&bed, 2);
	g_assert_false(view(&bed).full);
	http_exchange_answer(bed.exchange, 200, NULL, NULL);
	close(busy);
	close(fd);
	bed_end(&bed);
}

/* Without a descriptor, idle connections keep new callers out. */
static void test_idle_make_room_without_descriptor(void)
{
	struct bed bed;
	rlim_t before;
	int idle;
	int fd;

	bed_start(&bed);
	idle = dial(&bed);
	fd = bed_dial(http_server_port(bed.server));
	bed_say(fd, REQUEST);
	before = take_all_descriptors();
	run_until_asked(&bed, 1);
	give_back(before);
	g_assert_true(is_closed(idle));
	http_exchange_answer(bed.exchange, 200, NULL, NULL);
	close(idle);
	close(fd);
	bed_end(&bed);
}

/* A listening socket that is readable and empty stops the loop. */
static void test_accept_never_waits(void)
{
	struct acceptor acceptor = { .fd = -1 };
	struct address address;
	int fd;

	g_assert_true(address_parse(&address, "127.0.0.1:0"));
	g_assert_true(acceptor_open(&acceptor, &address, 4));
	g_assert_cmpint(acceptor_take(&acceptor, &fd), ==, ACCEPTOR_EMPTY);
	g_assert_cmpint(acceptor_view(&acceptor).failed, ==, 0);
	acceptor_close(&acceptor);
}

/* A call of the client's to a listener that answers nothing. */
struct quiet_call {
	struct http_call *call;
	enum result code;
	bool over;
	bool sent;
};

static void on_head(void *data, const struct http_head *head)
{
}

static void on_end(void *data, enum result code, bool sent)
{
	struct quiet_call *call = data;

	call->over = true;
	call->code = code;
	call->sent = sent;
}

static const struct http_call_hooks call_hooks = { on_head, NULL, on_end };

static void ask(struct bed *bed, struct quiet_call *call)
{
	char *address = xstrfmt("127.0.0.1:%d", http_server_port(bed->server));
	struct bytes head = { 0 };
	struct http_call_request request = { .address = address,
					     .head = &head,
					     .timeout_ms = 2000 };

	memset(call, 0, sizeof(*call));
	bytes_append_text(&head, REQUEST);
	call->call = http_call_start(bed->client, &request, &call_hooks, call);
	bytes_clear(&head);
	g_free(address);
}

static void on_connection(void *data, const char *address, bool stands)
{
	int *told = data;

	told[stands]++;
}

static bool free_none(void *data)
{
	return false;
}

static bool free_descriptor(void *data)
{
	int *spare = data;

	if (*spare < 0)
		return false;
	close(*spare);
	*spare = -1;
	return true;
}

/* A VM's own shortage is told as a server that can't be reached. */
static void test_own_shortage(void)
{
	struct quiet_call calls[2];
	int told[2] = { 0 };
	struct bed bed;

	bed_start(&bed);
	http_client_watch(bed.client, on_connection, told);
	http_client_bound(bed.client, 1, free_none, NULL);
	ask(&bed, &calls[0]);
	ask(&bed, &calls[1]);
	bed_run(&bed, &calls[1].over);
	g_assert_cmpint(calls[1].code, ==, RESULT_NO_DESCRIPTOR);
	g_assert_false(calls[1].sent);
	http_client_probe(bed.client, "127.0.0.1:1");
	bed_run(&bed, NULL);
	g_assert_cmpint(told[false], ==, 0);
	g_assert_cmpint(told[true], ==, 1);
	bed_end(&bed);
}

/* Without a descriptor no server can be reached, though callers hold some. */
static void test_callers_make_room_for_servers(void)
{
	struct quiet_call call;
	struct bed bed;
	rlim_t before;
	int spare;

	bed_start(&bed);
	spare = dup(STDERR_FILENO);
	http_client_bound(bed.client, 9, free_descriptor, &spare);
	before = take_all_descriptors();
	ask(&bed, &call);
	give_back(before);
	g_assert_cmpint(spare, ==, -1);
	run_until_asked(&bed, 1);
	g_assert_false(call.over);
	bed_end(&bed);
}

/* Idle connections to other servers keep a request from its server. */
static void test_idle_servers_make_room(void)
{
	struct quiet_call call;
	struct bed other;
	struct bed bed;
	char *address;
	struct bytes head = { 0 };
	struct http_call_request request = { .head = &head,
					     .timeout_ms = 2000 };

	bed_start(&bed);
	http_client_bound(bed.client, 1, free_none, NULL);
	ask(&bed, &call);
	run_until_asked(&bed, 1);
	http_exchange_answer(bed.exchange, 200, "Keep-Alive: timeout=9\r\n",
			     NULL);
	bed_run(&bed, &call.over);
	g_assert_cmpint(call.code, ==, RESULT_OK);
	g_assert_cmpint(http_client_open(bed.client), ==, 1);
	bed_start(&other);
	address = xstrfmt("127.0.0.1:%d", http_server_port(other.server));
	request.address = address;
	bytes_append_text(&head, REQUEST);
	memset(&call, 0, sizeof(call));
	http_call_start(bed.client, &request, &call_hooks, &call);
	bed_run(&bed, NULL);
	run_until_asked(&other, 1);
	g_assert_false(call.over);
	g_assert_cmpint(http_client_open(bed.client), ==, 1);
	bytes_clear(&head);
	g_free(address);
	bed_end(&bed);
	bed_end(&other);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/descriptors/idle-make-room", test_idle_make_room);
	g_test_add_func("/descriptors/busy-are-kept", test_busy_are_kept);
	g_test_add_func("/descriptors/waiting-caller-leaves",
			test_waiting_caller_leaves);
	g_test_add_func("/descriptors/unwritten-answers-are-kept",
			test_unwritten_answers_are_kept);
	g_test_add_func("/descriptors/no-spin", test_no_spin);
	g_test_add_func("/descriptors/idle-make-room-without-descriptor",
			test_idle_make_room_without_descriptor);
	g_test_add_func("/descriptors/accept-never-waits",
			test_accept_never_waits);
	g_test_add_func("/descriptors/own-shortage", test_own_shortage);
	g_test_add_func("/descriptors/callers-make-room-for-servers",
			test_callers_make_room_for_servers);
	g_test_add_func("/descriptors/idle-servers-make-room",
			test_idle_servers_make_room);
	return g_test_run();
}
