#include <glib.h>

#include "site.h"

#define ENGINE "127.0.0.1:9001"

#define BILLED                                                            \
	"{\"site/usage\":{\"window_s\":2,\"grace_s\":1},"                 \
	"\"team/calves/class/check\":{\"tier\":1,\"deadline_ms\":60000}," \
	"\"team/calves/organisation/yards\":{}}"

/* Runs one completion of five tokens. */
static void test_serve(struct site *site, int daemon)
{
	uint64_t id = site_chat(site, daemon, NULL);

	site_await(site, daemon, EFFECT_START_ATTEMPT, id);
	site_end_attempt(site, daemon, id, 1, RESULT_OK, NULL);
}

/*
 * Runs the site with a platform that accepts each report; returns tokens
 * billed.
 */
static int64_t test_run_platform(struct site *site, int64_t ms)
{
	int64_t tokens = 0;
	struct effect *effect;
	struct effect *next;
	int i;

	for (; ms > 0; ms -= 100) {
		site_run(site, 100);
		for (i = 0; i < site->n; i++)
			list_foreach_safe(effect, next,
					  &site->daemons[i].kept.head, node)
				tokens += site_take_report(site, i, effect);
	}
	return tokens;
}

/*
 * The leader's VM dies right after requests on all VMs, before their window is
 * reported. The next leader must bill what the other two VMs served exactly
 * once, in the window or as a correction.
 */
static void usage_outlives_the_vm_in_charge(void)
{
	struct site site;
	int64_t billed;
	int leader;
	int i;

	site_start(&site, 3, BILLED);
	site_announce(&site, 0, ENGINE, "base", NULL);
	billed = test_run_platform(&site, 3000);
	leader = site_leader(&site);
	for (i = 0; i < 3; i++)
		test_serve(&site, i);
	site_run(&site, 1500);
	site.daemons[leader].stopped = true;
	for (i = 0; i < 3; i++)
		if (i != leader)
			test_serve(&site, i);
	billed += test_run_platform(&site, 30000);
	g_assert_cmpint(billed, ==, 5 * 5);
	site_free(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/site/usage", usage_outlives_the_vm_in_charge);
	return g_test_run();
}
