#include <glib.h>

#include "agree/lease.h"

#define MS 1000

static struct lease new_lease(void)
{
	struct lease_options options = { .duration_us = 5000 * MS,
					 .margin_us = 500 * MS,
					 .drift_ppm = 10000 };
	struct lease lease;

	lease_init(&lease, &options);
	return lease;
}

/*
 * Guards against two servers being paid for: a new leader starts a server while
 * an order of the old leader, which doesn't know yet that it was replaced, is
 * still in progress.
 */
static void next_holder_waits_the_old_lease_out(void)
{
	struct lease lease = new_lease();
	int64_t now_us = 1000 * MS;

	lease_elected(&lease, 7, now_us);
	lease_renew(&lease, now_us);
	g_assert_false(lease_may_order(&lease, 0, now_us));
	g_assert_false(lease_valid(&lease, now_us + 5000 * MS));
	lease_renew(&lease, now_us + 6000 * MS);
	g_assert_true(lease_valid(&lease, now_us + 6000 * MS));
	g_assert_cmpint(lease.term, ==, 7);
}

/*
 * The old holder's clock is slow, the next holder's is fast, both within the
 * drift bound.
 */
static void wait_covers_both_clocks_drift(void)
{
	struct lease old = new_lease();
	struct lease next = new_lease();
	int64_t elected_us = 10000 * MS;
	int64_t end_us;
	int64_t first_us;

	lease_elected(&old, 1, 0);
	lease_renew(&old, elected_us);
	lease_elected(&next, 2, elected_us);
	/*
	 * in real time: a slow clock's second is longer, a fast one's shorter
	 */
	end_us = elected_us + (old.expires_us - elected_us) * 100 / 99;
	first_us = elected_us + (next.first_order_us - elected_us) * 100 / 101;
	g_assert_cmpint(first_us, >=, end_us);
}

static void order_must_end_inside_the_lease(void)
{
	struct lease lease = new_lease();
	int64_t start_us = 20000 * MS;

	lease_elected(&lease, 3, 0);
	lease_renew(&lease, start_us);
	g_assert_true(lease_may_order(&lease, 4500 * MS, start_us));
	g_assert_false(lease_may_order(&lease, 4501 * MS, start_us));
	g_assert_true(lease_may_order(&lease, 500 * MS, start_us + 4000 * MS));
	g_assert_false(lease_may_order(&lease, 500 * MS, start_us + 4001 * MS));
	g_assert_cmpint(lease_order_deadline(&lease), ==, start_us + 4500 * MS);
}

/* The holder is paused (SIGSTOP) and resumed after its lease has expired. */
static void paused_holder_gives_no_order(void)
{
	struct lease lease = new_lease();

	lease_elected(&lease, 3, 0);
	lease_renew(&lease, 20000 * MS);
	g_assert_true(lease_may_order(&lease, 100 * MS, 20001 * MS));
	g_assert_false(lease_may_order(&lease, 100 * MS, 26000 * MS));
	g_assert_false(lease_valid(&lease, 26000 * MS));
}

static void lost_lease_is_not_renewed(void)
{
	struct lease lease = new_lease();

	lease_elected(&lease, 3, 0);
	lease_renew(&lease, 20000 * MS);
	lease_end(&lease);
	lease_renew(&lease, 20500 * MS);
	g_assert_false(lease_may_order(&lease, 0, 20500 * MS));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/wait", next_holder_waits_the_old_lease_out);
	g_test_add_func("/lease/drift", wait_covers_both_clocks_drift);
	g_test_add_func("/lease/timeout", order_must_end_inside_the_lease);
	g_test_add_func("/lease/paused", paused_holder_gives_no_order);
	g_test_add_func("/lease/lost", lost_lease_is_not_renewed);
	return g_test_run();
}
