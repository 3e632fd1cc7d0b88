#include <glib.h>
#include <string.h>

#include "agree/raft.h"
#include "base/alloc.h"

#define MEMBERS 60
#define VOTERS 3
#define ZONES 3
#define SECOND 1000000

struct tree_event {
	struct list node;
	int from;
	int to;
	int64_t ticket;
	struct bytes body;
};

struct tree {
	struct raft *rafts[MEMBERS];
	bool dead[MEMBERS];
	int64_t sent[MEMBERS]; /* messages sent so far */
	int64_t now_us;
	struct list events;
};

static int slot_of(uint64_t id)
{
	return (int)(id >> 48) - 1;
}

static uint64_t id_of(int at)
{
	return ((uint64_t)at + 1) << 48;
}

static void tree_carry_out(struct tree *tree, int at, struct effects *effects);

static void tree_link(struct tree *tree, int a, int b)
{
	struct effects effects;

	if (tree->dead[a] || tree->dead[b])
		return;
	effects_init(&effects);
	raft_peer_up(tree->rafts[a], id_of(b), tree->now_us, &effects);
	tree_carry_out(tree, a, &effects);
	raft_peer_up(tree->rafts[b], id_of(a), tree->now_us, &effects);
	tree_carry_out(tree, b, &effects);
}

static void tree_carry_out(struct tree *tree, int at, struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects))) {
		struct tree_event *event = xcalloc(1, sizeof(*event));

		event->from = at;
		event->to = at;
		if (effect->kind == EFFECT_SEND) {
			event->to = slot_of(effect->u.send.peer);
			event->body = bytes_copy(&effect->u.send.body);
			tree->sent[at]++;
		} else if (effect->kind == EFFECT_LOG_SYNC) {
			event->ticket = effect->u.log_sync.ticket;
		} else {
			free(event);
			event = NULL;
		}
		if (event)
			list_append(&tree->events, &event->node);
		if (effect->kind == EFFECT_LINK_OPEN)
			tree_link(tree, at, slot_of(effect->u.link_open.peer));
		effect_free(effect);
	}
}

static void tree_deliver(struct tree *tree, struct tree_event *event)
{
	struct raft *raft = tree->rafts[event->to];
	struct effects effects;

	if (tree->dead[event->to] || tree->dead[event->from])
		return;
	effects_init(&effects);
	if (event->to == event->from)
		raft_synced(raft, event->ticket, tree->now_us, &effects);
	else
		raft_message(raft, id_of(event->from), event->body.data,
			     event->body.len, tree->now_us, &effects);
	tree_carry_out(tree, event->to, &effects);
}

/*
 * Deliver all queued messages every millisecond, and tick each member every 50
 * ms.
 */
static void tree_run(struct tree *tree, int64_t for_us)
{
	int64_t until_us = tree->now_us + for_us;
	struct raft_committed committed;

	for (; tree->now_us < until_us; tree->now_us += 1000) {
		struct list round;
		struct tree_event *event;
		int i;

		list_init(&round);
		while ((event = list_first(&tree->events, struct tree_event,
					   node))) {
			list_remove(&event->node);
			list_append(&round, &event->node);
		}
		while ((event = list_first(&round, struct tree_event, node))) {
			list_remove(&event->node);
			tree_deliver(tree, event);
			bytes_clear(&event->body);
			free(event);
		}
		for (i = 0; i < MEMBERS; i++) {
			struct effects effects;

			if (tree->dead[i])
				continue;
			effects_init(&effects);
			if (tree->now_us % 50000 == i * 1000 % 50000)
				raft_tick(tree->rafts[i], tree->now_us,
					  &effects);
			tree_carry_out(tree, i, &effects);
			while (raft_next_committed(tree->rafts[i], &committed))
				continue;
		}
	}
}

static void tree_start(struct tree *tree)
{
	struct effects effects;
	int i;

	memset(tree, 0, sizeof(*tree));
	list_init(&tree->events);
	for (i = 0; i < MEMBERS; i++) {
		struct raft_options options = raft_default_options();

		options.seed = (uint64_t)i;
		options.self.id = id_of(i);
		options.self.disk = i < VOTERS;
		g_snprintf(options.self.vm, MEMBER_TEXT_SIZE, "vm-%d", i);
		g_snprintf(options.self.zone, MEMBER_TEXT_SIZE, "zone-%d",
			   i % ZONES);
		tree->rafts[i] = raft_new(&options, 0);
	}
	effects_init(&effects);
	raft_bootstrap(tree->rafts[0], 0, &effects);
	tree_carry_out(tree, 0, &effects);
	for (i = 1; i < MEMBERS; i++)
		tree_link(tree, i, 0);
	tree_run(tree, 20 * (int64_t)SECOND);
}

static void tree_clear(struct tree *tree)
{
	struct tree_event *event;
	int i;

	while ((event = list_first(&tree->events, struct tree_event, node))) {
		list_remove(&event->node);
		bytes_clear(&event->body);
		free(event);
	}
	for (i = 0; i < MEMBERS; i++)
		raft_free(tree->rafts[i]);
}

static int tree_leader(const struct tree *tree)
{
	int i;

	for (i = 0; i < VOTERS; i++)
		if (!tree->dead[i] && raft_is_leader(tree->rafts[i]))
			return i;
	return -1;
}

/*
 * Propose an entry, and return how many live members haven't applied it after
 * `within_us`.
 */
static int tree_propose(struct tree *tree, int64_t within_us)
{
	int leader = tree_leader(tree);
	struct effects effects;
	int64_t index;
	int64_t term;
	int lacking = 0;
	int i;

	g_assert_cmpint(leader, >=, 0);
	effects_init(&effects);
	g_assert_cmpint(raft_propose(tree->rafts[leader], "x", 1, tree->now_us,
				     &effects, &index, &term),
			==, RESULT_OK);
	tree_carry_out(tree, leader, &effects);
	tree_run(tree, within_us);
	for (i = 0; i < MEMBERS; i++)
		lacking += !tree->dead[i] &&
			   raft_applied_index(tree->rafts[i]) < index;
	return lacking;
}

static void tree_kill(struct tree *tree, int at)
{
	int i;

	tree->dead[at] = true;
	for (i = 0; i < MEMBERS; i++) {
		struct effects effects;

		if (tree->dead[i])
			continue;
		effects_init(&effects);
		raft_peer_down(tree->rafts[i], id_of(at), tree->now_us,
			       &effects);
		tree_carry_out(tree, i, &effects);
	}
}

/*
 * A withdrawn key must stop working on all of 60 daemons within seconds,
 * although the leader doesn't replicate to all of them itself.
 */
static void change_reaches_all_within_seconds(void)
{
	struct tree tree;
	size_t members;
	int64_t before;
	int i;

	tree_start(&tree);
	g_assert_cmpint(tree_propose(&tree, 2 * SECOND), ==, 0);
	for (i = 0; i < MEMBERS; i++)
		g_assert_cmpint(raft_fresh_us(tree.rafts[i], tree.now_us), >,
				tree.now_us - 3 * SECOND);
	g_assert_cmpuint(raft_applied_on(tree.rafts[tree_leader(&tree)],
					 raft_commit_index(tree.rafts[0]),
					 &members),
			 ==, MEMBERS);
	g_assert_cmpuint(members, ==, MEMBERS);
	before = tree.sent[tree_leader(&tree)];
	tree_run(&tree, 10 * (int64_t)SECOND);
	/* 20 a second to each voter, 2 a second to at most 11 learners */
	g_assert_cmpint(tree.sent[tree_leader(&tree)] - before, <,
			10 * (2 * 20 + 11 * 2 + 10));
	tree_clear(&tree);
}

/*
 * Upstream VMs die: their downstream learners, on which a withdrawn key would
 * stay valid, must find another upstream within seconds.
 */
static void downstreams_of_a_dead_upstream_find_another(void)
{
	struct tree tree;
	int i;

	tree_start(&tree);
	for (i = VOTERS; i < VOTERS + 2 * ZONES; i++)
		tree_kill(&tree, i);
	tree_kill(&tree, tree_leader(&tree) == 1 ? 2 : 1);
	tree_run(&tree, 10 * (int64_t)SECOND);
	g_assert_cmpint(tree_propose(&tree, 3 * SECOND), ==, 0);
	tree_clear(&tree);
}

/*
 * The leader dies: all members must follow the next one without any other help.
 */
static void all_follow_the_next_leader(void)
{
	struct tree tree;

	tree_start(&tree);
	tree_kill(&tree, tree_leader(&tree));
	tree_run(&tree, 10 * (int64_t)SECOND);
	g_assert_cmpint(tree_propose(&tree, 3 * SECOND), ==, 0);
	tree_clear(&tree);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-tree/change", change_reaches_all_within_seconds);
	g_test_add_func("/raft-tree/dead-feeder",
			downstreams_of_a_dead_upstream_find_another);
	g_test_add_func("/raft-tree/leader", all_follow_the_next_leader);
	return g_test_run();
}
