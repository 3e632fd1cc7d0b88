#include "sim.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "sim_internal.h"

#define SIM_TICK_US 50000
#define SIM_PROPOSE_PERCENT 25
#define SIM_CALM_US 60000000

void sim_violate(struct sim *sim, const char *format, ...)
{
	va_list args;

	if (sim->violation)
		return;
	va_start(args, format);
	sim->violation = g_strdup_vprintf(format, args);
	va_end(args);
}

/* the node's own clock: simulated time at the node's rate */
int64_t sim_clock(const struct sim *sim, const struct sim_node *node)
{
	return sim->now_us + sim->now_us / 1000000 * node->rate_ppm +
	       sim->now_us % 1000000 * node->rate_ppm / 1000000;
}

static bool sim_earlier(const struct sim_event *a, const struct sim_event *b)
{
	return a->at_us < b->at_us ||
	       (a->at_us == b->at_us && a->order < b->order);
}

static void sim_swap(struct sim *sim, size_t a, size_t b)
{
	struct sim_event kept = sim->heap[a];

	sim->heap[a] = sim->heap[b];
	sim->heap[b] = kept;
}

static void sim_push(struct sim *sim, struct sim_event event)
{
	size_t at = sim->n_heap++;

	if (sim->n_heap > sim->heap_size) {
		sim->heap_size = 2 * sim->n_heap + 64;
		sim->heap = xrealloc(sim->heap, sim->heap_size * sizeof(event));
	}
	event.order = sim->order++;
	sim->heap[at] = event;
	while (at && sim_earlier(&sim->heap[at], &sim->heap[(at - 1) / 2])) {
		sim_swap(sim, at, (at - 1) / 2);
		at = (at - 1) / 2;
	}
}

static struct sim_event sim_pop(struct sim *sim)
{
	struct sim_event first = sim->heap[0];
	size_t at = 0;

	sim->heap[0] = sim->heap[--sim->n_heap];
	for (;;) {
		size_t least = at;
		size_t child;

		for (child = 2 * at + 1; child <= 2 * at + 2; child++)
			if (child < sim->n_heap &&
			    sim_earlier(&sim->heap[child], &sim->heap[least]))
				least = child;
		if (least == at)
			return first;
		sim_swap(sim, at, least);
		at = least;
	}
}

static int sim_slot(const struct sim *sim, uint64_t id)
{
	int i;

	for (i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].id == id)
			return i;
	return -1;
}

static int64_t sim_delay(struct sim *sim)
{
	if (!sim->faults_stopped && rng_below(&sim->rng, 100) < 3)
		return (int64_t)rng_below(&sim->rng, 2500000);
	return 500 + (int64_t)rng_below(&sim->rng, 8000);
}

static void sim_transmit(struct sim *sim, int from, struct effect *effect)
{
	int to = sim_slot(sim, effect->u.send.peer);
	int copies = 1;

	if (to < 0 || sim->cut[from][to])
		return;
	if (!sim->faults_stopped && rng_below(&sim->rng, 100) < 2)
		copies = (int)rng_below(&sim->rng, 2) * 2;
	while (copies--) {
		struct sim_event event = {
			.kind = SIM_MESSAGE,
			.node = to,
			.from = sim->nodes[from].id,
			.at_us = sim->now_us + sim_delay(sim),
			.body = bytes_copy(&effect->u.send.body),
		};

		sim_push(sim, event);
	}
}

void sim_wake(struct sim *sim, int node, enum sim_phase phase, int64_t in_us)
{
	sim_push(sim, (struct sim_event){ .kind = SIM_WAKE,
					  .node = node,
					  .ticket = phase,
					  .boot = sim->nodes[node].boot,
					  .at_us = sim->now_us + in_us });
}

static void sim_queue_sync(struct sim *sim, int node, int64_t ticket)
{
	struct sim_node *at = &sim->nodes[node];
	struct sim_event event = { .kind = SIM_SYNCED,
				   .node = node,
				   .boot = at->boot,
				   .ticket = ticket };

	event.at_us = sim->now_us + 200 +
		      (int64_t)rng_below(&sim->rng,
					 sim->faults_stopped ? 3000 : 40000);
	if (event.at_us <= at->synced_at_us)
		event.at_us = at->synced_at_us + 1;
	at->synced_at_us = event.at_us;
	sim_push(sim, event);
}

void sim_carry_out(struct sim *sim, int node, struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects))) {
		switch (effect->kind) {
		case EFFECT_SEND:
			sim_transmit(sim, node, effect);
			break;
		case EFFECT_LOG_SYNC:
			sim_queue_sync(sim, node, effect->u.log_sync.ticket);
			/* fall through */
		case EFFECT_LOG_APPEND:
		case EFFECT_LOG_TRUNCATE:
		case EFFECT_HARD_STATE:
		case EFFECT_SNAPSHOT:
			list_append(&sim->nodes[node].pending, &effect->node);
			continue;
		default:
			break;
		}
		effect_free(effect);
	}
}

void sim_stop(struct sim *sim, int at)
{
	struct sim_node *node = &sim->nodes[at];

	if (!node->raft)
		return;
	raft_free(node->raft);
	node->raft = NULL;
	node->paused = false;
	node->boot++;
	node->synced_at_us = 0;
	sim_lose_unsynced(sim, node);
}

static void sim_link_all(struct sim *sim, int at, struct effects *effects)
{
	int i;

	for (i = 0; i < SIM_NODES; i++) {
		struct sim_node *other = &sim->nodes[i];
		struct effects theirs;

		if (i == at || !other->raft)
			continue;
		raft_peer_up(sim->nodes[at].raft, other->id,
			     sim_clock(sim, &sim->nodes[at]), effects);
		effects_init(&theirs);
		raft_peer_up(other->raft, sim->nodes[at].id,
			     sim_clock(sim, other), &theirs);
		sim_carry_out(sim, i, &theirs);
	}
}

static struct raft_options sim_raft_options(struct sim *sim, int at)
{
	struct raft_options options = raft_default_options();
	struct sim_node *node = &sim->nodes[at];

	options.seed = rng_next(&sim->rng);
	/*
	 * one entry per message in every other run, so that old entries are
	 * replicated alone
	 */
	if (sim->options.seed % 2) {
		options.max_batch_bytes = 1;
		options.max_inflight = 2;
	}
	options.mutant = sim->options.mutant;
	options.drift_ppm = SIM_DRIFT_PPM;
	options.lease.drift_ppm = SIM_DRIFT_PPM;
	options.lease.duration_us = 1500000;
	options.lease.margin_us = 100000;
	options.learner_heartbeat_us = 200000;
	options.snapshot_bytes = 600;
	options.keep_entries = 8;
	options.chunk_bytes = 64;
	options.policy.voter_timeout_us = 3000000;
	options.policy.learner_timeout_us = 20000000;
	options.self.id = node->id;
	options.self.incarnation = (int64_t)node->boot;
	options.self.disk = at != SIM_LEARNER;
	snprintf(options.self.vm, MEMBER_TEXT_SIZE, "vm-%d", at);
	snprintf(options.self.zone, MEMBER_TEXT_SIZE, "zone-%d", at % 3);
	snprintf(options.self.address, MEMBER_TEXT_SIZE, "10.0.0.%d:1", at);
	return options;
}

void sim_start(struct sim *sim, int at)
{
	struct sim_node *node = &sim->nodes[at];
	struct raft_options options;
	struct effects effects;
	int64_t now_us = sim_clock(sim, node);

	node->boot++;
	if (at == SIM_LEARNER || !node->id)
		node->id = 100 * ++node->generation + (uint64_t)at + 1;
	options = sim_raft_options(sim, at);
	effects_init(&effects);
	node->state.index = 0;
	node->state.hash = 0;
	node->raft = raft_new(&options, now_us);
	if (raft_restore(node->raft, &node->saved) != RESULT_OK)
		sim_violate(sim, "node %d: its stored state is inconsistent",
			    at);
	if (at == 0 && !sim->founded) {
		sim->founded = true;
		raft_bootstrap(node->raft, now_us, &effects);
	}
	sim_link_all(sim, at, &effects);
	sim_carry_out(sim, at, &effects);
	sim_push(sim, (struct sim_event){ .kind = SIM_TICK,
					  .node = at,
					  .boot = node->boot,
					  .at_us = sim->now_us });
}

static void sim_propose(struct sim *sim, int at, struct effects *effects)
{
	struct sim_node *node = &sim->nodes[at];
	uint64_t value = ++sim->next_value;
	int64_t index;
	int64_t term;

	raft_propose(node->raft, (const char *)&value, sizeof(value),
		     sim_clock(sim, node), effects, &index, &term);
}

static void sim_do_tick(struct sim *sim, int at, struct effects *effects)
{
	struct sim_node *node = &sim->nodes[at];
	struct sim_event next = { .kind = SIM_TICK,
				  .node = at,
				  .boot = node->boot,
				  .at_us = sim->now_us + SIM_TICK_US };

	raft_tick(node->raft, sim_clock(sim, node), effects);
	if (raft_is_leader(node->raft) && sim->now_us >= sim->quiet_until_us &&
	    rng_below(&sim->rng, 100) < SIM_PROPOSE_PERCENT)
		sim_propose(sim, at, effects);
	sim_push(sim, next);
}

static void sim_do_synced(struct sim *sim, struct sim_event *event,
			  struct effects *effects)
{
	struct sim_node *node = &sim->nodes[event->node];
	int64_t now_us = sim_clock(sim, node);

	if (node->disk_bad) {
		raft_disk_failed(node->raft, RESULT_DISK_FAILED, now_us,
				 effects);
		return;
	}
	sim_settle_disk(node, event->ticket);
	raft_synced(node->raft, event->ticket, now_us, effects);
}

static void sim_step(struct sim *sim, struct sim_event *event)
{
	struct sim_node *node = &sim->nodes[event->node];
	struct effects effects;

	if (event->kind == SIM_MESSAGE ? !node->raft
				       : event->boot != node->boot)
		return;
	if (node->paused) {
		event->at_us = sim->now_us + SIM_TICK_US;
		sim_push(sim, *event);
		memset(&event->body, 0, sizeof(event->body));
		return;
	}
	if (event->kind == SIM_WAKE) {
		sim_on_wake(sim, event->node, event->ticket);
		return;
	}
	effects_init(&effects);
	if (event->kind == SIM_TICK)
		sim_do_tick(sim, event->node, &effects);
	else if (event->kind == SIM_SYNCED)
		sim_do_synced(sim, event, &effects);
	else
		raft_message(node->raft, event->from, event->body.data,
			     event->body.len, sim_clock(sim, node), &effects);
	sim_carry_out(sim, event->node, &effects);
	sim_drain(sim, event->node);
	sim_check(sim, event->node);
}

static void sim_run_until(struct sim *sim, int64_t until_us)
{
	while (!sim->violation && sim->n_heap &&
	       sim->heap[0].at_us <= until_us) {
		struct sim_event event = sim_pop(sim);

		sim->now_us = event.at_us;
		sim_step(sim, &event);
		bytes_clear(&event.body);
	}
	sim->now_us = until_us;
}

/* Whether all running nodes have applied the entries up to `target`. */
static bool sim_converged(struct sim *sim, int64_t target)
{
	int i;

	for (i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].raft &&
		    raft_applied_index(sim->nodes[i].raft) < target)
			return false;
	return sim->n_known >= target;
}

static void sim_calm(struct sim *sim)
{
	int64_t until_us = sim->now_us + SIM_CALM_US;
	int64_t target;

	sim->faults_stopped = true;
	sim_heal(sim);
	target = sim->n_known + 10;
	while (!sim->violation && sim->now_us < until_us) {
		sim_run_until(sim, sim->now_us + 250000);
		if (sim_converged(sim, target))
			return;
	}
	sim_violate(sim, "no progress without faults: %lld of %lld",
		    (long long)sim->n_known, (long long)target);
}

static void sim_clear(struct sim *sim)
{
	int i;

	while (sim->n_heap) {
		struct sim_event event = sim_pop(sim);

		bytes_clear(&event.body);
	}
	g_free(sim->heap);
	for (i = 0; i < SIM_NODES; i++) {
		sim_stop(sim, i);
		raft_persistent_state_clear(&sim->nodes[i].saved);
	}
}

char *sim_run(const struct sim_options *options, struct sim_stats *stats)
{
	struct sim *sim = g_new0(struct sim, 1);
	char *violation;
	int i;

	sim->options = *options;
	sim->stats = stats;
	sim->rng.state = options->seed;
	sim->now_us = 1000000;
	for (i = 0; i < SIM_NODES; i++) {
		int64_t side = (int64_t)rng_below(&sim->rng, 3) - 1;

		list_init(&sim->nodes[i].pending);
		sim->nodes[i].rate_ppm = side * SIM_DRIFT_PPM;
	}
	for (i = 0; i < SIM_NODES; i++)
		sim_start(sim, i);
	sim_run_until(sim, sim->now_us + 4000000);
	while (!sim->violation && sim->now_us < options->duration_us) {
		sim_faults(sim);
		sim_run_until(sim,
			      sim->now_us + 100000 +
				      (int64_t)rng_below(&sim->rng, 900000));
	}
	sim_calm(sim);
	stats->committed += sim->n_known;
	sim_clear(sim);
	violation = sim->violation;
	g_free(sim);
	return violation;
}
