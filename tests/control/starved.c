#include "starved.h"

#include <string.h>

#define SLOTS 16
#define QUEUE 4
#define TARGET_US INT64_C(1000000) /* of ENTRIES_SMALL */
#define STEP_US INT64_C(500000)
#define NOTHING_LEAST 10

/* The site's reckoning of size: a token that is written counts as ten. */
static int64_t size_of(const struct entries_asked *asked)
{
	return asked->ask.prompt_tokens + 10 * asked->ask.output_tokens;
}

static bool is_urgent(const struct entries_asked *asked)
{
	return !strcmp(asked->ask.path, ENTRIES_SMALL);
}

static bool within(int64_t at_us, const struct starved_span *span)
{
	return at_us >= span->from_us &&
	       at_us < span->from_us + STARVED_SPAN_US;
}

static int64_t mean_urgent_size(const struct entries *entries)
{
	int64_t sum = 0;
	int64_t n = 0;
	guint i;

	for (i = 0; i < entries->asks->len; i++) {
		const struct entries_asked *asked =
			g_ptr_array_index(entries->asks, i);

		if (!is_urgent(asked))
			continue;
		sum += size_of(asked);
		n++;
	}
	return n ? sum / n : 0;
}

bool starved_in(const struct starved_span *span)
{
	return span->larger && span->nothing >= NOTHING_LEAST &&
	       span->nothing * STARVED_SHARE > span->urgent;
}

static bool is_late(const struct entries_asked *asked)
{
	return !asked->began_us ||
	       asked->began_us - asked->asked_us > TARGET_US;
}

static void count(const struct entries *entries, int64_t size,
		  struct starved_span *span)
{
	guint i;

	for (i = 0; i < entries->asks->len; i++) {
		const struct entries_asked *asked =
			g_ptr_array_index(entries->asks, i);

		if (is_urgent(asked) && within(asked->asked_us, span)) {
			span->urgent++;
			span->nothing += !asked->began_us && asked->ended;
			span->late += is_late(asked);
		} else if (!is_urgent(asked) && within(asked->began_us, span)) {
			span->larger += size_of(asked) > 2 * size;
		}
	}
}

struct starved_span starved_worst(const struct entries *entries,
				  int64_t from_us)
{
	int64_t until_us = group_now(entries->group) - STARVED_SPAN_US;
	int64_t size = mean_urgent_size(entries);
	struct starved_span worst = { .from_us = from_us };
	int64_t at_us;

	for (at_us = from_us; at_us < until_us; at_us += STEP_US) {
		struct starved_span span = { .from_us = at_us };

		count(entries, size, &span);
		if (starved_in(&span) >= starved_in(&worst) &&
		    span.nothing > worst.nothing)
			worst = span;
	}
	return worst;
}

int starved_most_late(const struct entries *entries, int64_t from_us)
{
	int64_t until_us = group_now(entries->group) - STARVED_SPAN_US;
	int64_t at_us;
	int most = 0;

	for (at_us = from_us; at_us < until_us; at_us += STEP_US) {
		struct starved_span span = { .from_us = at_us };

		count(entries, 0, &span);
		most = MAX(most, span.late);
	}
	return most;
}

int starved_larger(const struct entries *entries, int64_t from_us)
{
	struct starved_span span = { .from_us = from_us };

	count(entries, 0, &span);
	return span.larger;
}

struct entries *starved_new(int n_vms, int n_servers)
{
	struct entries *entries = entries_new(n_vms, n_servers);
	int i;

	for (i = 0; i < n_servers; i++) {
		entries->servers[i].slots = SLOTS;
		entries->servers[i].queue = QUEUE;
	}
	return entries;
}

static int draw_vm(const struct entries *entries, struct starved_load *load)
{
	if (rng_unit(&load->rng) < load->share)
		return load->busy;
	return (int)rng_below(&load->rng, (uint64_t)entries->n_vms);
}

static void ask_due(struct entries *entries, struct starved_load *load)
{
	static const struct entries_ask small = {
		.path = ENTRIES_SMALL,
		.prompt_tokens = 1000,
		.output_tokens = 50,
		.work_us = 200000,
	};
	static const struct entries_ask large = {
		.path = ENTRIES_LARGE,
		.prompt_tokens = 6000,
		.output_tokens = 100,
		.work_us = 900000,
	};

	load->due_small += load->small * GROUP_STEP_US / 1e6;
	load->due_large += load->large * GROUP_STEP_US / 1e6;
	for (; load->due_small >= 1; load->due_small--)
		entries_send(entries, draw_vm(entries, load), &small);
	for (; load->due_large >= 1; load->due_large--)
		entries_send(entries, draw_vm(entries, load), &large);
}

void starved_play(struct entries *entries, struct starved_load *load,
		  struct starved_load *other, int64_t us)
{
	int64_t until_us = group_now(entries->group) + us;

	while (group_now(entries->group) < until_us) {
		ask_due(entries, load);
		if (other)
			ask_due(entries, other);
		entries_run(entries, GROUP_STEP_US);
	}
}

void starved_check(struct entries *entries, int64_t from_us)
{
	struct starved_span worst;

	entries_run(entries, STARVED_SPAN_US);
	worst = starved_worst(entries, from_us);
	g_test_message("%d of %d got nothing, %d larger ones began",
		       worst.nothing, worst.urgent, worst.larger);
	g_assert_false(starved_in(&worst));
	entries_free(entries);
}
