#include <gnutls/gnutls.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "daemon/link/link.h"
#include "daemon/link/link_frame.h"
#include "harness.h"

static const char secret[] = "links of one site";

/* One daemon's links, with a harness only for its events. */
struct site_vm {
	struct harness events;
	struct link_hub *hub;
	struct link_options options;
	char address[32];
};

static void fail(void *data, enum result code, const char *message)
{
	g_error("%d %s", code, message);
}

static const struct error_handler must_work = { fail, NULL };

static void vm_prepare(struct site_vm *vm, uint64_t member)
{
	memset(vm, 0, sizeof(*vm));
	harness_start(&vm->events, NULL);
	vm->options.listen = "127.0.0.1:0";
	vm->options.site = "site";
	vm->options.vm = "vm";
	vm->options.zone = "z";
	vm->options.self = member;
	vm->options.incarnation = member * 100;
	vm->options.secret = secret;
	vm->options.secret_len = sizeof(secret);
	vm->options.sink = &vm->events.sink;
	vm->options.counters = &vm->events.counters;
}

static void vm_run(struct site_vm *vm)
{
	vm->hub = link_start(&vm->options, &must_work);
	g_snprintf(vm->address, sizeof(vm->address), "127.0.0.1:%d",
		   link_port(vm->hub));
}

static void vm_start(struct site_vm *vm, uint64_t member)
{
	vm_prepare(vm, member);
	vm_run(vm);
}

static void vm_stop(struct site_vm *vm)
{
	link_stop(vm->hub);
	harness_stop(&vm->events);
}

static void vm_dial(struct site_vm *vm, const struct site_vm *other)
{
	struct effect_link_open open = { .peer = other->options.self,
					 .address = (char *)other->address };

	link_open(vm->hub, &open);
}

static void vm_send(struct site_vm *vm, uint64_t member, int64_t channel,
		    const char *text)
{
	struct effect_send send = { .peer = member, .channel = channel };

	bytes_append_text(&send.body, text);
	link_send(vm->hub, &send);
	bytes_clear(&send.body);
}

static void vm_expect(struct site_vm *vm, uint64_t member, int64_t channel,
		      const char *text)
{
	struct event *event = harness_wait(&vm->events, EVENT_LINK_MESSAGE);

	g_assert_cmpuint(event->u.link_message.peer, ==, member);
	g_assert_cmpint(event->u.link_message.channel, ==, channel);
	g_assert_cmpstr(bytes_text(&event->u.link_message.body), ==, text);
	event_free(event);
}

static void vm_wait_up(struct site_vm *vm, uint64_t member)
{
	struct event *event = harness_wait(&vm->events, EVENT_LINK_UP);

	g_assert_cmpuint(event->u.link_up.peer, ==, member);
	g_assert_cmpstr(event->u.link_up.name, ==, "vm");
	event_free(event);
}

static void messages_pass_both_ways(void)
{
	struct link_statistics statistics;
	struct site_vm a;
	struct site_vm b;
	int64_t channel;

	vm_start(&a, 1);
	vm_start(&b, 2);
	vm_dial(&a, &b);
	vm_wait_up(&a, 2);
	vm_wait_up(&b, 1);
	for (channel = LINK_RAFT; channel <= LINK_USAGE; channel++) {
		vm_send(&a, 2, channel, "to b");
		vm_expect(&b, 1, channel, "to b");
		vm_send(&b, 1, channel, "");
		vm_expect(&a, 2, channel, "");
	}
	link_read_statistics(a.hub, &statistics);
	g_assert_cmpuint(statistics.messages_out[LINK_FLEET], ==, 1);
	g_assert_cmpuint(statistics.messages_in[LINK_FLEET], ==, 1);
	g_assert_cmpuint(statistics.bytes_out[LINK_FLEET], >, 4);
	vm_stop(&a);
	vm_stop(&b);
}

/*
 * Two daemons come up together and dial each other; if each kept the other's
 * connection, both would be closed, again and again. Some rounds, as the
 * order in which things meet differs.
 */
static void dialling_at_once_settles(void)
{
	struct site_vm a;
	struct site_vm b;
	int round;

	for (round = 0; round < 10; round++) {
		vm_start(&a, 1);
		vm_start(&b, 2);
		vm_dial(&a, &b);
		vm_dial(&b, &a);
		vm_wait_up(&a, 2);
		vm_wait_up(&b, 1);
		/* A message lost while one connection is dropped is sent
		 * again, as the users of the links do. */
		while (!harness_has(&b.events, EVENT_LINK_MESSAGE)) {
			vm_send(&a, 2, LINK_RAFT, "a");
			g_usleep(1000);
		}
		while (!harness_has(&a.events, EVENT_LINK_MESSAGE)) {
			vm_send(&b, 1, LINK_RAFT, "b");
			g_usleep(1000);
		}
		vm_stop(&a);
		vm_stop(&b);
	}
}

static void seeds_find_peers_and_not_oneself(void)
{
	const char *seeds[2];
	struct site_vm a;
	struct site_vm b;

	vm_start(&a, 1);
	vm_prepare(&b, 2);
	seeds[0] = a.address;
	seeds[1] = b.address;
	/* The port is free for the moment and taken by b itself below. */
	vm_run(&b);
	link_stop(b.hub);
	b.options.listen = b.address;
	b.options.seeds = seeds;
	b.options.n_seeds = 2;
	vm_run(&b);
	vm_wait_up(&b, 1);
	vm_wait_up(&a, 2);
	g_assert_false(harness_has(&b.events, EVENT_LINK_UP));
	vm_stop(&a);
	vm_stop(&b);
}

static void restarted_peer_is_dialled_again(void)
{
	struct site_vm a;
	struct site_vm b;

	vm_start(&a, 1);
	vm_start(&b, 2);
	vm_dial(&a, &b);
	vm_wait_up(&a, 2);
	link_stop(b.hub);
	event_free(harness_wait(&a.events, EVENT_LINK_DOWN));
	b.options.listen = b.address;
	b.options.incarnation++;
	vm_run(&b);
	vm_wait_up(&a, 2);
	vm_send(&a, 2, LINK_RAFT, "again");
	vm_expect(&b, 1, LINK_RAFT, "again");
	vm_stop(&a);
	vm_stop(&b);
}

static void expect_refused(const char *site, const void *key, size_t len)
{
	struct site_vm a;
	struct site_vm b;

	vm_start(&a, 1);
	vm_prepare(&b, 2);
	b.options.site = site;
	b.options.secret = key;
	b.options.secret_len = len;
	vm_run(&b);
	vm_dial(&b, &a);
	wait_for_counter(&a.events.counters.link_refused, 1);
	g_assert_false(harness_has(&a.events, EVENT_LINK_UP));
	g_assert_false(harness_has(&b.events, EVENT_LINK_UP));
	vm_stop(&a);
	vm_stop(&b);
}

static void wrong_key_gets_no_further(void)
{
	expect_refused("site", "another", 7);
}

static void other_site_is_refused(void)
{
	expect_refused("other", secret, sizeof(secret));
}

/* A peer of the test's own: the right key, then whatever is to be tried. */
struct odd_peer {
	int fd;
	gnutls_session_t tls;
	gnutls_psk_client_credentials_t credentials;
};

static void odd_peer_dial(struct odd_peer *peer, const struct site_vm *vm,
			  uint64_t member, uint64_t version)
{
	struct link_hello hello = {
		version, "site", "vm", "z", "", member, 7, 0
	};
	unsigned char key[32];
	gnutls_datum_t datum = { key, sizeof(key) };
	struct bytes out = { 0 };
	struct address address;

	crypto_generichash(key, sizeof(key), (const unsigned char *)secret,
			   sizeof(secret), NULL, 0);
	g_assert_true(address_parse(&address, vm->address));
	peer->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(connect(peer->fd, (void *)&address.storage,
				address.len),
			==, 0);
	gnutls_psk_allocate_client_credentials(&peer->credentials);
	gnutls_psk_set_client_credentials(peer->credentials, "filberthall",
					  &datum, GNUTLS_PSK_KEY_RAW);
	gnutls_init(&peer->tls, GNUTLS_CLIENT);
	gnutls_priority_set_direct(peer->tls,
				   "NORMAL:-VERS-ALL:+VERS-TLS1.3:-KX-ALL:"
				   "+ECDHE-PSK",
				   NULL);
	gnutls_credentials_set(peer->tls, GNUTLS_CRD_PSK, peer->credentials);
	gnutls_transport_set_int(peer->tls, peer->fd);
	g_assert_cmpint(gnutls_handshake(peer->tls), ==, 0);
	link_frame_add_hello(&out, &hello);
	gnutls_record_send(peer->tls, out.data, out.len);
	bytes_clear(&out);
}

static void odd_peer_close(struct odd_peer *peer)
{
	gnutls_deinit(peer->tls);
	gnutls_psk_free_client_credentials(peer->credentials);
	close(peer->fd);
}

static void other_version_is_refused(void)
{
	struct odd_peer peer;
	struct site_vm a;

	vm_start(&a, 1);
	odd_peer_dial(&peer, &a, 9, LINK_VERSION + 1);
	wait_for_counter(&a.events.counters.link_refused, 1);
	g_assert_false(harness_has(&a.events, EVENT_LINK_UP));
	odd_peer_close(&peer);
	vm_stop(&a);
}

static void oversize_frame_ends_the_link(void)
{
	static const char huge[] = "\x7f\xff\xff\xff";
	struct odd_peer peer;
	struct site_vm a;

	vm_start(&a, 1);
	odd_peer_dial(&peer, &a, 9, LINK_VERSION);
	vm_wait_up(&a, 9);
	gnutls_record_send(peer.tls, huge, 4);
	event_free(harness_wait(&a.events, EVENT_LINK_DOWN));
	g_assert_cmpint(atomic_load(&a.events.counters.link_refused), ==, 1);
	odd_peer_close(&peer);
	vm_stop(&a);
}

/*
 * A dead voter goes on counting as one that hears us. The path has lost track
 * of the connection, or the peer hangs: the socket stays open and silent.
 */
static void half_dead_link_is_down_in_time(void)
{
	struct odd_peer peer;
	struct site_vm a;
	int64_t began_us;

	vm_start(&a, 1);
	began_us = edge_now_us();
	odd_peer_dial(&peer, &a, 9, LINK_VERSION);
	vm_wait_up(&a, 9);
	event_free(harness_wait(&a.events, EVENT_LINK_DOWN));
	g_assert_cmpint(edge_now_us() - began_us, >=, LINK_SILENCE_US);
	g_assert_cmpint(edge_now_us() - began_us, <, 2 * LINK_SILENCE_US);
	odd_peer_close(&peer);
	vm_stop(&a);
}

static void *keep_alive(void *data)
{
	struct odd_peer *peer = data;
	struct bytes out = { 0 };

	link_frame_add_heartbeat(&out);
	while (gnutls_record_send(peer->tls, out.data, out.len) > 0)
		g_usleep(200000);
	bytes_clear(&out);
	return NULL;
}

/*
 * One daemon hangs and the whole site loses its leader: messages to it pile
 * up, or the thread waits for it while the others hear nothing.
 */
static void slow_peer_holds_nobody_up(void)
{
	g_autofree char *large = g_strnfill(1000000, 'x');
	struct odd_peer slow;
	struct site_vm a;
	struct site_vm b;
	pthread_t thread;
	int i;

	vm_start(&a, 1);
	vm_start(&b, 2);
	vm_dial(&a, &b);
	vm_wait_up(&a, 2);
	vm_wait_up(&b, 1);
	odd_peer_dial(&slow, &a, 9, LINK_VERSION);
	vm_wait_up(&a, 9);
	pthread_create(&thread, NULL, keep_alive, &slow);
	for (i = 0; i < 60; i++)
		vm_send(&a, 9, LINK_SHARE, large);
	vm_send(&a, 2, LINK_RAFT, "in time");
	vm_expect(&b, 1, LINK_RAFT, "in time");
	wait_for_counter(&a.events.counters.link_dropped, 1);
	shutdown(slow.fd, SHUT_RDWR);
	pthread_join(thread, NULL);
	odd_peer_close(&slow);
	vm_stop(&a);
	vm_stop(&b);
}

static void large_message_arrives_whole(void)
{
	g_autofree char *large = g_strnfill(LINK_FRAME_BYTES, 'y');
	g_autofree char *too_large = g_strnfill(LINK_FRAME_BYTES + 1, 'y');
	struct site_vm a;
	struct site_vm b;

	vm_start(&a, 1);
	vm_start(&b, 2);
	vm_dial(&a, &b);
	vm_wait_up(&a, 2);
	vm_send(&a, 2, LINK_RAFT, too_large);
	vm_send(&a, 2, LINK_RAFT, large);
	vm_expect(&b, 1, LINK_RAFT, large);
	g_assert_cmpint(atomic_load(&a.events.counters.link_dropped), ==, 1);
	vm_stop(&a);
	vm_stop(&b);
}

static void closed_link_is_not_dialled_again(void)
{
	struct effect_link_close close = { .peer = 2 };
	struct site_vm a;
	struct site_vm b;

	vm_start(&a, 1);
	vm_start(&b, 2);
	vm_dial(&a, &b);
	vm_wait_up(&a, 2);
	vm_wait_up(&b, 1);
	link_close(a.hub, &close);
	event_free(harness_wait(&a.events, EVENT_LINK_DOWN));
	event_free(harness_wait(&b.events, EVENT_LINK_DOWN));
	vm_send(&a, 2, LINK_RAFT, "nobody there");
	wait_for_counter(&a.events.counters.link_dropped, 1);
	g_assert_false(harness_has(&a.events, EVENT_LINK_UP));
	vm_stop(&a);
	vm_stop(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link/messages", messages_pass_both_ways);
	g_test_add_func("/link/both-dial", dialling_at_once_settles);
	g_test_add_func("/link/seeds", seeds_find_peers_and_not_oneself);
	g_test_add_func("/link/restart", restarted_peer_is_dialled_again);
	g_test_add_func("/link/wrong-key", wrong_key_gets_no_further);
	g_test_add_func("/link/other-site", other_site_is_refused);
	g_test_add_func("/link/other-version", other_version_is_refused);
	g_test_add_func("/link/oversize", oversize_frame_ends_the_link);
	g_test_add_func("/link/half-dead", half_dead_link_is_down_in_time);
	g_test_add_func("/link/slow-peer", slow_peer_holds_nobody_up);
	g_test_add_func("/link/large", large_message_arrives_whole);
	g_test_add_func("/link/close", closed_link_is_not_dialled_again);
	return g_test_run();
}
