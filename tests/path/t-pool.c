#include <glib.h>
#include <sys/resource.h>

#include "daemon/descriptors.h"
#include "daemon/http/pool.h"

static void fill(struct pool *pool, const char *address, int n)
{
	while (n--)
		pool_put(pool, pool_open(pool, address));
}

static void idle_connections_are_bounded(void)
{
	struct edge_counters counters = { 0 };
	struct pool pool = { 0 };
	g_autofree char *address = NULL;
	int port;

	pool_init(&pool, &counters);
	pool.idle_total = POOL_IDLE_TOTAL;
	fill(&pool, "127.0.0.1:1", 2 * POOL_IDLE_BY_ADDRESS);
	g_assert_cmpuint(pool.n_idle, ==, POOL_IDLE_BY_ADDRESS);
	for (port = 2; port < 20; port++) {
		g_free(address);
		address = g_strdup_printf("127.0.0.1:%d", port);
		fill(&pool, address, POOL_IDLE_BY_ADDRESS);
	}
	g_assert_cmpuint(pool.n_idle, ==, POOL_IDLE_TOTAL);
	pool_clear(&pool);
}

static void distrust_closes_one_address_only(void)
{
	struct edge_counters counters = { 0 };
	struct pool pool = { 0 };

	pool_init(&pool, &counters);
	fill(&pool, "127.0.0.1:1", 3);
	fill(&pool, "127.0.0.1:2", 2);
	pool_distrust(&pool, "127.0.0.1:1");
	pool_distrust(&pool, "127.0.0.1:3");
	g_assert_cmpuint(pool.n_idle, ==, 2);
	g_assert_cmpuint(atomic_load(&counters.distrusted), ==, 3);
	pool_clear(&pool);
}

/*
 * The first request after a quiet night waits its time-out out: a box in the
 * middle has forgotten the connection that was idle all night.
 */
static void old_connections_are_closed(void)
{
	struct edge_counters counters = { 0 };
	struct pool pool = { 0 };
	struct connection *connection;

	pool_init(&pool, &counters);
	fill(&pool, "127.0.0.1:1", 3);
	g_assert_true(pool_expire(&pool));
	g_assert_cmpuint(pool.n_idle, ==, 3);
	pool.idle_us = -1000000;
	connection = pool_take(&pool, "127.0.0.1:1");
	g_assert_false(connection->reused);
	connection_close(connection);
	fill(&pool, "127.0.0.1:2", 3);
	g_assert_false(pool_expire(&pool));
	g_assert_cmpuint(pool.n_idle, ==, 0);
	pool_clear(&pool);
}

static void name_is_no_address(void)
{
	struct edge_counters counters = { 0 };
	struct pool pool = { 0 };

	pool_init(&pool, &counters);
	g_assert_null(pool_open(&pool, "localhost:80"));
	g_assert_null(pool_take(&pool, "127.0.0.1"));
	pool_clear(&pool);
}

/*
 * A VM refuses every request while callers keep coming: their connections
 * have taken all descriptors, and none is left to reach a backend server.
 */
static void callers_leave_descriptors_for_their_requests(void)
{
	struct rlimit limit;
	int callers;

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = 1000;
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	callers = descriptors_for_callers(5000);
	g_assert_cmpint(callers, >, 200);
	g_assert_cmpint(3 * callers + 2 * descriptors_for_idle(5000), <, 900);
	g_assert_cmpint(descriptors_for_callers(7), ==, 7);
	g_assert_cmpint(descriptors_for_idle(7), ==, 7);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pool/bounded", idle_connections_are_bounded);
	g_test_add_func("/pool/distrust", distrust_closes_one_address_only);
	g_test_add_func("/pool/old", old_connections_are_closed);
	g_test_add_func("/pool/address", name_is_no_address);
	g_test_add_func("/descriptors/shares",
			callers_leave_descriptors_for_their_requests);
	return g_test_run();
}
