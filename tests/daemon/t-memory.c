#include <glib.h>

#include "daemon/memory.h"

#define KIB ((size_t)1024)
#define MIB (KIB * 1024)

/* 8 MiB for peers, of which large claims get 6. */
#define PROCESS_MIB 16

/* Many peers hold bytes of legal size, together more than there is. */
static void test_over_all(void)
{
	struct memory_claim claims[10];
	struct memory memory;
	int granted = 0;
	size_t i;

	memory_init(&memory, PROCESS_MIB);
	for (i = 0; i < G_N_ELEMENTS(claims); i++) {
		claims[i] = memory_claim(&memory, MEMORY_REQUESTS);
		granted += memory_ask(&claims[i], MIB);
	}
	g_assert_cmpint(granted, ==, 6);
	g_assert_cmpint(memory_view(&memory).refused[MEMORY_REQUESTS], ==, 4);
	g_assert_cmpint(memory_view(&memory).held, ==, 6 * MIB);
	for (i = 0; i < G_N_ELEMENTS(claims); i++)
		memory_release(&claims[i]);
	g_assert_cmpint(memory_view(&memory).held, ==, 0);
	g_assert_true(memory_ask(&claims[9], MIB));
}

/* Large bodies leave nothing for ordinary requests. */
static void test_small_ones(void)
{
	struct memory_claim large[6];
	struct memory_claim small;
	struct memory memory;
	int i;

	memory_init(&memory, PROCESS_MIB);
	for (i = 0; i < 6; i++) {
		large[i] = memory_claim(&memory, MEMORY_REQUESTS);
		memory_ask(&large[i], MIB);
	}
	small = memory_claim(&memory, MEMORY_REQUESTS);
	g_assert_true(memory_ask(&small, 4 * KIB));
	g_assert_true(memory_ask(&small, MEMORY_SMALL_BYTES));
	g_assert_false(memory_ask(&small, MIB));
	g_assert_cmpuint(small.bytes, ==, MEMORY_SMALL_BYTES);
}

/* A request within the limits is refused though nothing else is held. */
static void test_in_calm(void)
{
	struct memory_claim claim;
	struct memory_claim other;
	struct memory memory;

	memory_init(&memory, 1);
	claim = memory_claim(&memory, MEMORY_REQUESTS);
	other = memory_claim(&memory, MEMORY_REQUESTS);
	g_assert_true(memory_ask(&claim, 4 * MIB));
	g_assert_false(memory_ask(&other, 4 * MIB));
	memory_release(&claim);
	g_assert_true(memory_ask(&other, 4 * MIB));
}

/* Callers take all memory, and the VM hears nothing of the others. */
static void test_links(void)
{
	struct memory_claim callers;
	struct memory_claim link;
	struct memory memory;

	memory_init(&memory, PROCESS_MIB);
	callers = memory_claim(&memory, MEMORY_SOCKETS);
	memory_hold(&callers, 8 * MIB);
	g_assert_true(memory_is_full(&memory));
	link = memory_claim(&memory, MEMORY_LINKS);
	g_assert_true(memory_ask(&link, MIB));
	g_assert_false(memory_ask(&link, 3 * MIB));
}

static void test_wanted(void)
{
	struct memory_claim held;
	struct memory_claim more;
	struct memory memory;

	memory_init(&memory, PROCESS_MIB);
	held = memory_claim(&memory, MEMORY_REQUESTS);
	more = memory_claim(&memory, MEMORY_REQUESTS);
	g_assert_true(memory_ask(&held, 6 * MIB));
	g_assert_false(memory_is_wanted(&memory));
	g_assert_false(memory_ask(&more, MIB));
	g_assert_true(memory_is_wanted(&memory));
	g_assert_false(memory_is_wanted(&memory));
	g_assert_false(memory_has_room(&memory));
	memory_ask(&held, 4 * MIB);
	g_assert_true(memory_has_room(&memory));
}

/* The system's buffers of all connections are more than a quarter. */
static void test_sockets(void)
{
	struct memory memory;
	int most;

	memory_init(&memory, PROCESS_MIB);
	most = memory_connections(&memory, 1000, 128);
	g_assert_cmpint(most, ==, (4 * 1024 / 16 - 128) / 2);
	g_assert_cmpint((2 * most + 128) *
				memory_socket_bytes(&memory, most, 128),
			<=, 4 * MIB);
	g_assert_cmpint(memory_connections(&memory, 10, 128), ==, 10);
	g_assert_cmpint(memory_connections(&memory, 10, 10000), ==, 1);
	memory_init(&memory, 1024 * 1024);
	g_assert_cmpint(memory_socket_bytes(&memory, 100, 128), ==, 256 * KIB);
	g_assert_cmpint(memory_socket_bytes(&memory, 100000000, 128), ==,
			64 * KIB);
}

static void test_no_bound(void)
{
	struct memory_claim claim = { 0 };

	g_assert_true(memory_ask(&claim, 1024 * MIB));
	g_assert_cmpuint(claim.bytes, ==, 1024 * MIB);
	memory_release(&claim);
	g_assert_cmpuint(claim.bytes, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/memory/over-all", test_over_all);
	g_test_add_func("/memory/small-ones", test_small_ones);
	g_test_add_func("/memory/in-calm", test_in_calm);
	g_test_add_func("/memory/links", test_links);
	g_test_add_func("/memory/wanted", test_wanted);
	g_test_add_func("/memory/sockets", test_sockets);
	g_test_add_func("/memory/no-bound", test_no_bound);
	return g_test_run();
}
