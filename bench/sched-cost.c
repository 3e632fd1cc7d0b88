#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/alloc.h"
#include "base/rng.h"
#include "load/pick.h"
#include "load/sched.h"

/*
 * What one decision of the scheduler costs, by the number of requests that
 * wait and of organisations that they belong to. A decision is: a request
 * comes in, the next one is chosen and served, one is trued up; so the queue
 * stays as long as it is. Prints a table whose columns show the slope, and
 * another of what the choice of a server costs, by their number.
 */
#define COST_DECISIONS 400000
#define COST_CLASSES 8
#define COST_PICKS 20000

struct bed {
	struct sched sched;
	struct sched_entry *entry_vms;
	struct rng rng;
	uint64_t sequence;
};

static double now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

static void bed_push(struct bed *bed, struct sched_entry *entry,
		     uint64_t organisations)
{
	list_init(&entry->order);
	entry->sequence = ++bed->sequence;
	entry->due_us = (int64_t)(bed->sequence + rng_below(&bed->rng, 100000));
	entry->cost = 50 + (double)rng_below(&bed->rng, 2000);
	sched_push(&bed->sched, entry, (int)rng_below(&bed->rng, COST_CLASSES),
		   1 + rng_below(&bed->rng, organisations));
}

static double cost_ns(size_t queued, uint64_t organisations)
{
	struct bed bed = { .rng = { 1 } };
	struct sched_entry *entry;
	double began;
	double took;
	size_t i;

	sched_init(&bed.sched);
	for (i = 0; i < COST_CLASSES; i++)
		sched_set_class(&bed.sched, (int)i, (int)(i % SCHED_TIERS));
	bed.entry_vms = xcalloc(queued, sizeof(*bed.entry_vms));
	for (i = 0; i < queued; i++)
		bed_push(&bed, &bed.entry_vms[i], organisations);
	began = now_ns();
	for (i = 0; i < COST_DECISIONS; i++) {
		uint64_t served;

		entry = sched_next(&bed.sched, SCHED_TIERS - 1);
		served = entry->organisation;
		sched_serve(&bed.sched, entry);
		sched_settle(&bed.sched, served, (int)(served % SCHED_TIERS),
			     10);
		bed_push(&bed, entry, organisations);
	}
	took = now_ns() - began;
	sched_clear(&bed.sched);
	free(bed.entry_vms);
	return took / COST_DECISIONS;
}

/* One choice of a server, of two drawn or of all. */
static double pick_ns(int n_servers, bool two_choices)
{
	struct pick_options options = { .two_choices = two_choices,
					.prefix_affinity = true,
					.stragglers = true };
	struct pick_query query = { .prompt_tokens = 400,
				    .mean_load = 0.5,
				    .hold_us = 3e6 };
	struct backend *servers = xcalloc((size_t)n_servers, sizeof(*servers));
	struct backend **members = xcalloc((size_t)n_servers, sizeof(*members));
	struct rng rng = { 1 };
	double began;
	double took;
	int i;

	for (i = 0; i < n_servers; i++) {
		servers[i].slots = 32;
		servers[i].running = (int64_t)rng_below(&rng, 31);
		servers[i].lease_end_us = INT64_MAX;
		servers[i].prefill_rate = 20000;
		members[i] = &servers[i];
	}
	began = now_ns();
	for (i = 0; i < COST_PICKS; i++)
		pick_backend(&options, &query, members, n_servers, &rng, 1);
	took = now_ns() - began;
	free(servers);
	free(members);
	return took / COST_PICKS;
}

static void print_picks(void)
{
	static const int servers[] = { 12, 100, 1000 };
	size_t i;

	printf("\n| servers | two choices | all |\n|---|---|---|\n");
	for (i = 0; i < sizeof(servers) / sizeof(*servers); i++)
		printf("| %d | %.0f ns | %.0f ns |\n", servers[i],
		       pick_ns(servers[i], true), pick_ns(servers[i], false));
}

int main(void)
{
	static const size_t queued[] = { 100, 1000, 10000, 100000 };
	static const uint64_t organisations[] = { 10, 450, 4500 };
	size_t i;
	size_t j;

	printf("| queued | 10 organisations | 450 | 4500 |\n|---|---|---|---|\n");
	for (i = 0; i < sizeof(queued) / sizeof(*queued); i++) {
		printf("| %zu |", queued[i]);
		for (j = 0; j < sizeof(organisations) / sizeof(*organisations);
		     j++)
			printf(" %.0f ns |",
			       cost_ns(queued[i], organisations[j]));
		printf("\n");
	}
	print_picks();
	return 0;
}
