#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "agree/raft.h"
#include "base/alloc.h"

/**
 * What following costs: groups of 7 to 330 members in one process on a
 * virtual clock, with the real core of each. Three voters, the rest learners
 * without a disk in nine availability zones. Counted by role: messages and
 * bytes a second of LINK_RAFT (sent and received), processor time of the
 * calls, and the time until a change is applied on all members.
 */
#define MAX_MEMBERS 330
#define ZONES 9
#define VOTERS 3
#define TICK_US 50000
#define LINK_US 1000
#define SETTLE_US 30000000
#define RUN_US 20000000
#define ENTRY_BYTES 200
#define ID_SHIFT 48

struct stand_in {
	struct raft *raft;
	uint64_t id;
	int64_t tick_us;
	int64_t spent_ns;
	int64_t bytes;
	int64_t messages;
	int64_t applied;
};

struct on_the_way {
	struct list node;
	int64_t at_us;
	uint64_t from;
	uint64_t to;
	int64_t ticket; /* of a sync, if to == from */
	struct bytes body;
};

struct fleet {
	int n;
	int64_t now_us;
	struct stand_in items[MAX_MEMBERS];
	struct list way;     /* all take as long: in order */
	int64_t all_applied; /* index that all have applied */
	int64_t proposed_us[4096];
	int64_t slowest_us;
	int64_t total_us;
	int64_t changes;
};

static int64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return now.tv_sec * INT64_C(1000000000) + now.tv_nsec;
}

static struct stand_in *fleet_find(struct fleet *fleet, uint64_t id)
{
	uint64_t at = (id >> ID_SHIFT) - 1;

	return at < (uint64_t)fleet->n ? &fleet->items[at] : NULL;
}

static void fleet_send(struct fleet *fleet, struct stand_in *from,
		       struct effect *effect)
{
	struct on_the_way *item = xcalloc(1, sizeof(*item));

	item->at_us = fleet->now_us + LINK_US;
	item->from = from->id;
	item->to = from->id;
	if (effect->kind == EFFECT_SEND) {
		item->to = effect->u.send.peer;
		item->body = effect->u.send.body;
		memset(&effect->u.send.body, 0, sizeof(struct bytes));
	} else {
		item->ticket = effect->u.log_sync.ticket;
	}
	list_append(&fleet->way, &item->node);
}

/* a link comes up as soon as a member asks for it */
static void fleet_link(struct fleet *fleet, struct stand_in *from, uint64_t to)
{
	struct stand_in *other = fleet_find(fleet, to);
	struct effects effects;
	struct effect *effect;

	if (!other)
		return;
	effects_init(&effects);
	raft_peer_up(from->raft, to, fleet->now_us, &effects);
	while ((effect = effects_take(&effects))) {
		if (effect->kind == EFFECT_SEND)
			fleet_send(fleet, from, effect);
		effect_free(effect);
	}
	raft_peer_up(other->raft, from->id, fleet->now_us, &effects);
	while ((effect = effects_take(&effects))) {
		if (effect->kind == EFFECT_SEND)
			fleet_send(fleet, other, effect);
		effect_free(effect);
	}
}

static void fleet_carry_out(struct fleet *fleet, struct stand_in *member,
			    struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects))) {
		if (effect->kind == EFFECT_SEND ||
		    effect->kind == EFFECT_LOG_SYNC)
			fleet_send(fleet, member, effect);
		else if (effect->kind == EFFECT_LINK_OPEN)
			fleet_link(fleet, member, effect->u.link_open.peer);
		effect_free(effect);
	}
}

static void fleet_apply(struct stand_in *member)
{
	struct raft_committed entry;

	while (raft_next_committed(member->raft, &entry))
		member->applied = entry.index;
}

static void fleet_deliver(struct fleet *fleet, struct on_the_way *item)
{
	struct stand_in *to = fleet_find(fleet, item->to);
	struct effects effects;
	int64_t start_ns = cpu_ns();

	if (!to)
		return;
	effects_init(&effects);
	if (item->to == item->from)
		raft_synced(to->raft, item->ticket, fleet->now_us, &effects);
	else
		raft_message(to->raft, item->from, item->body.data,
			     item->body.len, fleet->now_us, &effects);
	fleet_apply(to);
	to->spent_ns += cpu_ns() - start_ns;
	fleet_carry_out(fleet, to, &effects);
}

static void fleet_note_applied(struct fleet *fleet)
{
	int64_t least = fleet->items[0].applied;
	int i;

	for (i = 1; i < fleet->n; i++)
		if (fleet->items[i].applied < least)
			least = fleet->items[i].applied;
	for (; fleet->all_applied < least; fleet->all_applied++) {
		int64_t *proposed =
			&fleet->proposed_us[(fleet->all_applied + 1) % 4096];
		int64_t took_us = fleet->now_us - *proposed;

		if (!*proposed)
			continue;
		*proposed = 0;
		fleet->changes++;
		fleet->total_us += took_us;
		if (took_us > fleet->slowest_us)
			fleet->slowest_us = took_us;
	}
}

static struct stand_in *fleet_leader(struct fleet *fleet)
{
	int i;

	for (i = 0; i < fleet->n; i++)
		if (raft_is_leader(fleet->items[i].raft))
			return &fleet->items[i];
	return NULL;
}

static void fleet_propose(struct fleet *fleet)
{
	struct stand_in *leader = fleet_leader(fleet);
	static const char body[ENTRY_BYTES];
	struct effects effects;
	int64_t start_ns = cpu_ns();
	int64_t index;
	int64_t term;

	effects_init(&effects);
	if (!leader || raft_propose(leader->raft, body, sizeof(body),
				    fleet->now_us, &effects, &index, &term))
		return;
	fleet->proposed_us[index % 4096] = fleet->now_us;
	leader->spent_ns += cpu_ns() - start_ns;
	fleet_carry_out(fleet, leader, &effects);
}

static void fleet_tick(struct fleet *fleet, struct stand_in *member)
{
	struct effects effects;
	int64_t start_ns = cpu_ns();

	effects_init(&effects);
	raft_tick(member->raft, fleet->now_us, &effects);
	fleet_apply(member);
	member->spent_ns += cpu_ns() - start_ns;
	member->tick_us = fleet->now_us + TICK_US;
	fleet_carry_out(fleet, member, &effects);
}

static void fleet_step(struct fleet *fleet)
{
	struct on_the_way *item;
	int i;

	while ((item = list_first(&fleet->way, struct on_the_way, node)) &&
	       item->at_us <= fleet->now_us) {
		list_remove(&item->node);
		fleet_deliver(fleet, item);
		bytes_clear(&item->body);
		free(item);
	}
	for (i = 0; i < fleet->n; i++)
		if (fleet->items[i].tick_us <= fleet->now_us)
			fleet_tick(fleet, &fleet->items[i]);
	fleet->now_us += 500;
}

static void fleet_run(struct fleet *fleet, int64_t for_us, double rate)
{
	int64_t until_us = fleet->now_us + for_us;
	int64_t next_us = fleet->now_us;

	while (fleet->now_us < until_us) {
		if (rate > 0 && fleet->now_us >= next_us) {
			fleet_propose(fleet);
			next_us += (int64_t)(1e6 / rate);
		}
		fleet_step(fleet);
		if (fleet->now_us % 5000 == 0)
			fleet_note_applied(fleet);
	}
}

static void fleet_start(struct fleet *fleet, int n)
{
	int i;

	memset(fleet, 0, sizeof(*fleet));
	list_init(&fleet->way);
	fleet->n = n;
	fleet->now_us = 1000000;
	for (i = 0; i < n; i++) {
		struct raft_options options = raft_default_options();
		struct stand_in *member = &fleet->items[i];

		/* as long as a random id in a message */
		member->id = ((uint64_t)i + 1) << ID_SHIFT;
		member->tick_us = fleet->now_us + i * 149 % TICK_US;
		options.self.id = member->id;
		options.self.disk = i < VOTERS;
		options.self.incarnation = 1;
		options.seed = member->id;
		snprintf(options.self.vm, MEMBER_TEXT_SIZE, "entry-%d", i);
		snprintf(options.self.zone, MEMBER_TEXT_SIZE, "zone-%d",
			 i % ZONES);
		snprintf(options.self.address, MEMBER_TEXT_SIZE,
			 "10.0.%d.%d:7001", i / 250, i % 250);
		member->raft = raft_new(&options, fleet->now_us);
	}
	for (i = 0; i < n; i++) {
		struct effects effects;

		effects_init(&effects);
		if (i == 0)
			raft_bootstrap(fleet->items[0].raft, fleet->now_us,
				       &effects);
		fleet_carry_out(fleet, &fleet->items[i], &effects);
		if (i)
			fleet_link(fleet, &fleet->items[i], fleet->items[0].id);
	}
}

static void fleet_reset(struct fleet *fleet)
{
	int i;

	for (i = 0; i < fleet->n; i++) {
		struct stand_in *member = &fleet->items[i];
		const struct raft_counters *counters =
			raft_counters(member->raft);

		member->spent_ns = 0;
		member->bytes = counters->bytes_sent + counters->bytes_received;
		member->messages =
			counters->messages_sent + counters->messages_received;
	}
	fleet->slowest_us = 0;
	fleet->total_us = 0;
	fleet->changes = 0;
}

struct role_cost {
	double bytes;
	double messages;
	double cpu; /* percent of a core */
};

static struct role_cost fleet_cost(const struct stand_in *member)
{
	const struct raft_counters *counters = raft_counters(member->raft);
	double seconds = RUN_US / 1e6;
	struct role_cost cost = {
		.bytes = (double)(counters->bytes_sent +
				  counters->bytes_received - member->bytes) /
			 seconds,
		.messages = (double)(counters->messages_sent +
				     counters->messages_received -
				     member->messages) /
			    seconds,
		.cpu = (double)member->spent_ns / 1e9 / seconds * 100,
	};

	return cost;
}

static void raise_to(struct role_cost *most, struct role_cost cost)
{
	if (cost.bytes > most->bytes)
		most->bytes = cost.bytes;
	if (cost.messages > most->messages)
		most->messages = cost.messages;
	if (cost.cpu > most->cpu)
		most->cpu = cost.cpu;
}

static void fleet_report(struct fleet *fleet, double rate)
{
	struct role_cost leader = { 0 };
	struct role_cost voter = { 0 };
	struct role_cost learner = { 0 };
	struct role_cost sum = { 0 };
	int learners = 0;
	int i;

	for (i = 0; i < fleet->n; i++) {
		struct stand_in *member = &fleet->items[i];
		struct role_cost cost = fleet_cost(member);

		if (raft_is_leader(member->raft)) {
			raise_to(&leader, cost);
		} else if (raft_is_voter(member->raft)) {
			raise_to(&voter, cost);
		} else {
			raise_to(&learner, cost);
			learners++;
			sum.bytes += cost.bytes;
			sum.cpu += cost.cpu;
		}
	}
	learners = learners ? learners : 1;
	printf("| %d | %.2f | %.0f / %.2f | %.0f / %.2f | %.0f / %.2f | "
	       "%.0f / %.3f | %.0f / %.0f |\n",
	       fleet->n, rate, leader.bytes, leader.cpu, voter.bytes, voter.cpu,
	       learner.bytes, learner.cpu, sum.bytes / learners,
	       sum.cpu / learners,
	       fleet->changes
		       ? (double)fleet->total_us / 1e3 / (double)fleet->changes
		       : 0.0,
	       (double)fleet->slowest_us / 1e3);
	fflush(stdout);
}

static void fleet_clear(struct fleet *fleet)
{
	struct on_the_way *item;
	int i;

	while ((item = list_first(&fleet->way, struct on_the_way, node))) {
		list_remove(&item->node);
		bytes_clear(&item->body);
		free(item);
	}
	for (i = 0; i < fleet->n; i++)
		raft_free(fleet->items[i].raft);
}

int main(void)
{
	static const int sizes[] = { 7, 50, 150, 330 };
	static const double rates[] = { 0, 0.25, 5, 50 };
	struct fleet *fleet = xcalloc(1, sizeof(*fleet));
	size_t i;
	size_t j;

	printf("bytes/s / percent of a core, the most loaded of each role\n\n"
	       "| members | changes/s | leader | voter | learner | "
	       "mean learner | in force on all, mean / most ms |\n"
	       "|---|---|---|---|---|---|---|\n");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		fleet_start(fleet, sizes[i]);
		fleet_run(fleet, SETTLE_US, 0);
		for (j = 0; j < sizeof(rates) / sizeof(rates[0]); j++) {
			fleet_reset(fleet);
			fleet_run(fleet, RUN_US, rates[j]);
			fleet_report(fleet, rates[j]);
		}
		fleet_clear(fleet);
	}
	free(fleet);
	return EXIT_SUCCESS;
}
