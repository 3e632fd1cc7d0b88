#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "load/sched.h"

/*
 * Compares the scheduler with a simple reference that keeps everything in
 * arrays and searches them in full for each decision: in seeded random runs
 * both must choose the same request each time.
 */
#define N_ENTRIES 400
#define N_ORGANISATIONS 7
#define N_CLASSES 5

struct naive_entry {
	bool waits;
	int class_id;
	uint64_t organisation;
	int64_t due_us;
	uint64_t sequence;
	double cost;
};

struct naive {
	struct naive_entry entries[N_ENTRIES];
	int tiers[N_CLASSES];
	double flow_time[N_ORGANISATIONS + 1][SCHED_TIERS];
	double tier_time[SCHED_TIERS];
};

static bool naive_flow_waits(const struct naive *naive, uint64_t organisation,
			     int tier)
{
	int i;

	for (i = 0; i < N_ENTRIES; i++)
		if (naive->entries[i].waits &&
		    naive->entries[i].organisation == organisation &&
		    naive->tiers[naive->entries[i].class_id] == tier)
			return true;
	return false;
}

static void naive_push(struct naive *naive, int at)
{
	const struct naive_entry *entry = &naive->entries[at];
	int tier = naive->tiers[entry->class_id];
	double *time = &naive->flow_time[entry->organisation][tier];

	if (!naive_flow_waits(naive, entry->organisation, tier) &&
	    *time < naive->tier_time[tier])
		*time = naive->tier_time[tier];
	naive->entries[at].waits = true;
}

static bool naive_before(const struct naive *naive, int a, int b)
{
	const struct naive_entry *x = &naive->entries[a];
	const struct naive_entry *y = &naive->entries[b];
	int tier_x = naive->tiers[x->class_id];
	int tier_y = naive->tiers[y->class_id];
	double time_x = naive->flow_time[x->organisation][tier_x];
	double time_y = naive->flow_time[y->organisation][tier_y];

	if (tier_x != tier_y)
		return tier_x < tier_y;
	if (time_x != time_y)
		return time_x < time_y;
	if (x->organisation != y->organisation)
		return x->organisation < y->organisation;
	if (x->due_us != y->due_us)
		return x->due_us < y->due_us;
	return x->sequence < y->sequence;
}

static int naive_next(const struct naive *naive)
{
	int best = -1;
	int i;

	for (i = 0; i < N_ENTRIES; i++)
		if (naive->entries[i].waits &&
		    (best < 0 || naive_before(naive, i, best)))
			best = i;
	return best;
}

static void naive_serve(struct naive *naive, int at)
{
	struct naive_entry *entry = &naive->entries[at];
	int tier = naive->tiers[entry->class_id];
	double *time = &naive->flow_time[entry->organisation][tier];

	if (naive->tier_time[tier] < *time)
		naive->tier_time[tier] = *time;
	*time += entry->cost;
	entry->waits = false;
}

struct pair {
	struct sched sched;
	struct naive naive;
	struct sched_entry entries[N_ENTRIES];
	struct rng rng;
	uint64_t sequence;
};

static void pair_push(struct pair *pair, int at)
{
	struct naive_entry *naive = &pair->naive.entries[at];
	struct sched_entry *entry = &pair->entries[at];

	if (naive->waits)
		return;
	naive->class_id = (int)rng_below(&pair->rng, N_CLASSES);
	naive->organisation = 1 + rng_below(&pair->rng, N_ORGANISATIONS);
	naive->due_us = (int64_t)rng_below(&pair->rng, 50);
	naive->sequence = ++pair->sequence;
	naive->cost = 1 + (double)rng_below(&pair->rng, 1000);
	memset(entry, 0, sizeof(*entry));
	entry->due_us = naive->due_us;
	entry->sequence = naive->sequence;
	entry->cost = naive->cost;
	list_init(&entry->order);
	naive_push(&pair->naive, at);
	sched_push(&pair->sched, entry, naive->class_id, naive->organisation);
}

static void pair_serve(struct pair *pair)
{
	struct sched_entry *entry = sched_next(&pair->sched, SCHED_TIERS - 1);
	int expected = naive_next(&pair->naive);

	if (expected < 0) {
		g_assert_null(entry);
		return;
	}
	g_assert_true(entry == &pair->entries[expected]);
	naive_serve(&pair->naive, expected);
	sched_serve(&pair->sched, entry);
}

static void pair_settle(struct pair *pair)
{
	uint64_t organisation = 1 + rng_below(&pair->rng, N_ORGANISATIONS);
	int tier = (int)rng_below(&pair->rng, SCHED_TIERS);
	double delta = (double)rng_below(&pair->rng, 400) - 200;

	/*
	 * The scheduler has no state of an organisation before its first push.
	 */
	if (!naive_flow_waits(&pair->naive, organisation, tier))
		return;
	pair->naive.flow_time[organisation][tier] += delta;
	sched_settle(&pair->sched, organisation, tier, delta);
}

static void run_pair(uint64_t seed)
{
	struct pair *pair = g_new0(struct pair, 1);
	int step;
	int i;

	pair->rng.state = seed;
	sched_init(&pair->sched);
	for (i = 0; i < N_CLASSES; i++) {
		pair->naive.tiers[i] = i % SCHED_TIERS;
		sched_set_class(&pair->sched, i, i % SCHED_TIERS);
	}
	for (step = 0; step < 5000; step++) {
		int at = (int)rng_below(&pair->rng, N_ENTRIES);

		switch (rng_below(&pair->rng, 8)) {
		case 0:
		case 1:
		case 2:
		case 3:
			pair_push(pair, at);
			break;
		case 4:
			pair->naive.entries[at].waits = false;
			sched_remove(&pair->sched, &pair->entries[at]);
			break;
		case 5:
			pair_settle(pair);
			break;
		default:
			pair_serve(pair);
		}
	}
	for (i = 0; i < N_ENTRIES; i++)
		pair_serve(pair);
	g_assert_cmpuint(pair->sched.n, ==, 0);
	sched_clear(&pair->sched);
	g_free(pair);
}

static void chooses_as_the_naive_version_does(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++)
		run_pair(seed);
}

/*
 * An operator lowers a class's tier while its requests wait. They must move to
 * the queue of the new tier at once; none may be lost or served twice.
 */
static void a_change_of_tier_moves_what_waits(void)
{
	struct sched_entry entries[3] = { 0 };
	struct sched sched;
	int i;

	sched_init(&sched);
	sched_set_class(&sched, 1, 1);
	for (i = 0; i < 3; i++) {
		entries[i].sequence = (uint64_t)i + 1;
		entries[i].cost = 1;
		list_init(&entries[i].order);
		sched_push(&sched, &entries[i], i == 1, 1);
	}
	g_assert_true(sched_next(&sched, 3) == &entries[0]);
	sched_set_class(&sched, 0, 2);
	g_assert_true(sched_next(&sched, 3) == &entries[1]);
	g_assert_cmpuint(sched.n, ==, 3);
	for (i = 0; i < 3; i++)
		sched_serve(&sched, sched_next(&sched, 3));
	g_assert_null(sched_next(&sched, 3));
	sched_clear(&sched);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/naive", chooses_as_the_naive_version_does);
	g_test_add_func("/sched/tier-change",
			a_change_of_tier_moves_what_waits);
	return g_test_run();
}
