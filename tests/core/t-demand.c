#include <glib.h>
#include <string.h>

#include "core/demand.h"
#include "core/pack.h"

static void test_write(struct bytes *out, const char *pool, int top, int low,
		       const char *team, int requests, int attained)
{
	msgpack_packer packer;

	pack_init(&packer, out);
	msgpack_pack_array(&packer, 2 + 7 + 3);
	msgpack_pack_int(&packer, 1);
	msgpack_pack_int(&packer, 1);
	pack_text(&packer, pool);
	msgpack_pack_int(&packer, 0);
	msgpack_pack_int(&packer, top);
	msgpack_pack_int(&packer, 0);
	msgpack_pack_int(&packer, 0);
	msgpack_pack_int(&packer, low);
	msgpack_pack_int(&packer, low);
	pack_text(&packer, team);
	msgpack_pack_int(&packer, requests);
	msgpack_pack_int(&packer, attained);
}

static void test_served(void *data, const char *team, int64_t requests,
			int64_t attained)
{
	int64_t *sums = data;

	g_assert_cmpstr(team, ==, "calves");
	sums[0] += requests;
	sums[1] += attained;
}

static void test_keep(void *data, const struct demand_sum *sum)
{
	*(struct demand_sum *)data = *sum;
}

static void demand_of_all_daemons_adds_up(void)
{
	struct demand *demand = demand_new();
	struct demand_sum sum = { .pool = "" };
	int64_t served[2] = { 0 };
	struct bytes a = { 0 };
	struct bytes b = { 0 };

	test_write(&a, "base", 3, 2, "calves", 10, 9);
	test_write(&b, "base", 4, 5, "calves", 6, 6);
	g_assert_cmpint(demand_read(demand, 1, a.data, a.len, 0, test_served,
				    served),
			==, RESULT_OK);
	g_assert_cmpint(demand_read(demand, 2, b.data, b.len, 0, test_served,
				    served),
			==, RESULT_OK);
	/* A daemon's second report replaces its first. */
	g_assert_cmpint(demand_read(demand, 1, a.data, a.len, 0, test_served,
				    served),
			==, RESULT_OK);
	demand_visit(demand, 0, test_keep, &sum);
	g_assert_cmpstr(sum.pool, ==, "base");
	g_assert_cmpfloat(sum.by_tier[0], ==, 7);
	g_assert_cmpfloat(sum.by_tier[3], ==, 7);
	g_assert_cmpfloat(sum.reclaimable, ==, 7);
	g_assert_cmpint(served[0], ==, 26);
	g_assert_cmpint(served[1], ==, 24);
	bytes_clear(&a);
	bytes_clear(&b);
	demand_free(demand);
}

/*
 * A daemon dies under load. Its last report must expire; otherwise backend
 * servers would be started, and billed, for requests that nobody sends.
 */
static void demand_of_a_dead_daemon_fades(void)
{
	struct demand *demand = demand_new();
	struct demand_sum sum = { .pool = "" };
	int64_t served[2] = { 0 };
	struct bytes a = { 0 };

	test_write(&a, "base", 3, 2, "calves", 10, 9);
	demand_read(demand, 1, a.data, a.len, 0, test_served, served);
	demand_visit(demand, DEMAND_TTL_US + 1, test_keep, &sum);
	g_assert_cmpstr(sum.pool, ==, "");
	bytes_clear(&a);
	demand_free(demand);
}

static void a_cut_message_changes_nothing(void)
{
	struct demand *demand = demand_new();
	struct demand_sum sum = { .pool = "" };
	int64_t served[2] = { 0 };
	struct bytes a = { 0 };
	size_t len;

	test_write(&a, "base", 3, 2, "calves", 10, 9);
	for (len = 0; len < a.len; len++)
		g_assert_cmpint(demand_read(demand, 1, a.data, len, 0,
					    test_served, served),
				==, RESULT_MESSAGE_MALFORMED);
	demand_visit(demand, 0, test_keep, &sum);
	g_assert_cmpstr(sum.pool, ==, "");
	g_assert_cmpint(served[0], ==, 0);
	bytes_clear(&a);
	demand_free(demand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/demand/sum", demand_of_all_daemons_adds_up);
	g_test_add_func("/demand/fades", demand_of_a_dead_daemon_fades);
	g_test_add_func("/demand/cut", a_cut_message_changes_nothing);
	return g_test_run();
}
