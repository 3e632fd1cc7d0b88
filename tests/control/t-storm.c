#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "group.h"

/*
 * Control VMs under faults that overlap at random: killed, emptied, replaced,
 * cut off, with failing disks and wall clocks that step. An operator changes
 * the document and reads it all the while. Whatever strikes, what was
 * acknowledged is never read older or lost, as long as no more than two disks
 * are lost before the group has made up for them; orders come from one VM at a
 * time; and a group that is left alone is whole again.
 *
 * STORM_SEEDS=FROM-TO plays other seeds than the usual ones.
 */

#define SECOND INT64_C(1000000)
#define VOTERS 5
#define VMS 8
#define ACTIONS 80
#define PUTS_MOST 256
#define LEASE_US (3 * SECOND)
#define WINDOWS_FROM (INT64_C(1700000000) / 5)
#define SEEDS_FROM 1
#define SEEDS_TO 40

/*
 * Failed once. 507: a voter with a full disk was removed while two others were
 * being lost; those with that change in their logs and the one without it kept
 * each other from being elected for ever. 1055: the same with a voter that
 * stood still for seconds and came back.
 */
static const struct {
	uint64_t seed;
	int patience;
} failed_once[] = {
	{ 507, 1 },
	{ 1055, 4 },
};

static const int seeds_of_site[] = { 0, 1, 2 };

struct put {
	uint64_t call;
	int64_t version;
	bool acked;
};

struct storm {
	struct group *group;
	struct rng rng;
	uint64_t seed;
	bool down[VMS];
	bool gone[VMS]; /* replaced for good, or not yet added */
	bool sick[VMS]; /* its disk fails until it is started again */
	bool frozen[VMS];
	int patience;	 /* before all is healed; seeds differ in it */
	int lost;	 /* disks, until the group was seen whole */
	int64_t calm_us; /* since nothing has been wrong; 0 if something is */
	struct put puts[PUTS_MOST];
	int n_puts;
	int64_t version;
	int64_t acked; /* highest acknowledged */
	int64_t window;
	int reads;
	int n_acked;
};

static int pick(struct storm *storm, int n)
{
	return (int)rng_below(&storm->rng, (uint64_t)n);
}

/* A VM that is up, -1 if the one picked isn't. */
static int pick_up(struct storm *storm)
{
	int vm = pick(storm, VMS);

	if (storm->gone[vm] || storm->down[vm] || storm->frozen[vm])
		return -1;
	return vm;
}

/* One that believes to lead and isn't frozen, -1 for none. */
static int leader_up(struct storm *storm)
{
	int vm;

	for (vm = 0; vm < VMS; vm++)
		if (!storm->gone[vm] && !storm->down[vm] &&
		    !storm->frozen[vm] && group_view(storm->group, vm).leader)
			return vm;
	return -1;
}

static void read_at(struct storm *storm, int vm)
{
	uint64_t call = group_get(storm->group, vm);
	int version = 0;

	if (group_code(storm->group, call) != RESULT_OK)
		return;
	sscanf(group_body(storm->group, call), "document %d", &version);
	if (version < storm->acked)
		g_error("seed %d: vm %d reads %d after %d was acknowledged",
			(int)storm->seed, vm, version, (int)storm->acked);
	storm->reads++;
}

/* A reader may come first. */
static void thaw(struct storm *storm, int vm)
{
	if (!storm->frozen[vm])
		return;
	storm->frozen[vm] = false;
	if (storm->down[vm])
		return;
	read_at(storm, vm);
	group_freeze(storm->group, vm, false);
	read_at(storm, vm);
}

static void heal(struct storm *storm)
{
	int a;
	int b;

	for (a = 0; a < VMS; a++)
		for (b = 0; b < a; b++)
			group_cut(storm->group, a, b, false);
	for (a = 0; a < VMS; a++)
		for (b = 0; b < VMS; b++)
			group_mute(storm->group, a, b, false);
	for (a = 0; a < VMS; a++) {
		if (storm->gone[a])
			continue;
		thaw(storm, a);
		if (storm->sick[a] && !storm->down[a])
			group_kill(storm->group, a);
		if (storm->sick[a] || storm->down[a])
			group_start(storm->group, a);
		storm->sick[a] = false;
		storm->down[a] = false;
	}
}

/* With links that end at once, or that look as if they stood. */
static void isolate(struct storm *storm, int vm, bool silently)
{
	int other;

	for (other = 0; other < VMS; other++) {
		if (other == vm)
			continue;
		if (!silently)
			group_cut(storm->group, vm, other, true);
		group_mute(storm->group, vm, other, true);
		group_mute(storm->group, other, vm, true);
	}
}

static void take_answers(struct storm *storm)
{
	int i;

	for (i = 0; i < storm->n_puts; i++) {
		struct put *put = &storm->puts[i];

		if (put->acked ||
		    group_code(storm->group, put->call) != RESULT_OK)
			continue;
		put->acked = true;
		storm->n_acked++;
		if (put->version > storm->acked)
			storm->acked = put->version;
	}
}

static void put(struct storm *storm, int vm)
{
	struct put *put = &storm->puts[storm->n_puts];

	if (storm->n_puts == PUTS_MOST)
		return;
	storm->n_puts++;
	storm->version += 1 + pick(storm, 3);
	put->version = storm->version;
	put->call = group_put(storm->group, vm, put->version);
}

/* At all that are up. */
static void read_all(struct storm *storm)
{
	int vm;

	for (vm = 0; vm < VMS; vm++)
		if (!storm->gone[vm] && !storm->down[vm] && !storm->frozen[vm])
			read_at(storm, vm);
}

/* One disk more may go if the group has made up for those before. */
static bool may_lose(const struct storm *storm)
{
	return storm->lost < 2;
}

static void lose(struct storm *storm, int vm)
{
	group_wipe(storm->group, vm);
	storm->down[vm] = true;
	storm->sick[vm] = false;
	storm->frozen[vm] = false;
	storm->lost++;
}

/* A VM goes for good and an empty one comes at another address. */
static void replace(struct storm *storm, int vm)
{
	int other;

	for (other = 0; other < VMS; other++)
		if (storm->gone[other])
			break;
	if (other == VMS)
		return;
	lose(storm, vm);
	storm->gone[vm] = true;
	storm->down[vm] = false;
	group_wipe(storm->group, other);
	group_start(storm->group, other);
	storm->gone[other] = false;
}

static void strike(struct storm *storm, int vm)
{
	int i;

	switch (pick(storm, 11)) {
	case 0:
	case 1:
		group_kill(storm->group, vm);
		storm->down[vm] = true;
		break;
	case 2:
		if (may_lose(storm))
			lose(storm, vm);
		break;
	case 3:
		if (may_lose(storm))
			replace(storm, vm);
		break;
	case 4:
		isolate(storm, vm, pick(storm, 3));
		break;
	case 5:
		if (pick(storm, 2))
			group_cut(storm->group, vm, pick(storm, VMS), true);
		else
			group_mute(storm->group, vm, pick(storm, VMS), true);
		break;
	case 6:
		group_fail_disk(storm->group, vm);
		storm->sick[vm] = true;
		break;
	case 7:
		group_step_wall(storm->group, vm,
				(pick(storm, 8) - 4) * SECOND);
		break;
	case 8:
	case 9:
		group_freeze(storm->group, vm, true);
		storm->frozen[vm] = true;
		break;
	default:
		for (i = 0; i < VMS; i++) {
			if (storm->gone[i] || storm->down[i])
				continue;
			group_kill(storm->group, i);
			storm->down[i] = true;
			storm->frozen[i] = false;
		}
		break;
	}
}

/* Lost disks are made up for once five vote and nothing is wrong. */
static void note_whole(struct storm *storm)
{
	int leader = group_leader(storm->group);

	if (storm->calm_us &&
	    group_now(storm->group) - storm->calm_us > 6 * SECOND &&
	    leader >= 0 && group_view(storm->group, leader).voters == VOTERS)
		storm->lost = 0;
}

static void act(struct storm *storm)
{
	int vm = pick_up(storm);
	int what = pick(storm, 10);

	/* Sent elsewhere, an operator would be told to go to the leader. */
	if (what < 3 && leader_up(storm) >= 0)
		vm = leader_up(storm);
	if (what < 4 && vm >= 0) {
		put(storm, vm);
	} else if (what < 6) {
		read_all(storm);
	} else if (what < 8 && vm >= 0) {
		if (leader_up(storm) >= 0 && pick(storm, 2))
			vm = leader_up(storm);
		storm->calm_us = 0;
		strike(storm, vm);
	} else if (!storm->calm_us && !pick(storm, storm->patience)) {
		heal(storm);
		storm->calm_us = group_now(storm->group);
		/* Now and then long enough to be whole again. */
		if (pick(storm, 2))
			group_run(storm->group, 8 * SECOND);
	}
}

static void check_orders(const struct storm *storm)
{
	const struct group_call *calls;
	int n;
	int i;
	int k;

	calls = group_calls(storm->group, &n);
	for (i = 1; i < n; i++) {
		g_assert_cmpint(calls[i].fence, >=, calls[i - 1].fence);
		for (k = i - 2; k >= 0; k--)
			if (calls[k].vm == calls[i].vm &&
			    calls[i - 1].vm != calls[i].vm &&
			    calls[i].at_us - calls[k].at_us < LEASE_US)
				g_error("seed %d: vm %d orders again after %d",
					(int)storm->seed, calls[i].vm,
					calls[i - 1].vm);
	}
}

/* Left alone, the group is whole, takes a change and has kept the last one. */
static void check_end(struct storm *storm)
{
	int leader;

	heal(storm);
	group_run(storm->group, 15 * SECOND);
	take_answers(storm);
	leader = group_leader(storm->group);
	if (leader < 0 || group_view(storm->group, leader).voters != VOTERS)
		g_error("seed %d: leader %d, %d voters at the end",
			(int)storm->seed, leader,
			leader < 0 ? 0
				   : group_view(storm->group, leader).voters);
	read_at(storm, leader);
	put(storm, leader);
	group_run(storm->group, SECOND);
	take_answers(storm);
	if (storm->acked != storm->version)
		g_error("seed %d: the last change isn't taken",
			(int)storm->seed);
	read_at(storm, leader);
	check_orders(storm);
}

static void play(uint64_t seed, int patience, struct storm *storm)
{
	int i;

	memset(storm, 0, sizeof(*storm));
	storm->seed = seed;
	storm->rng.state = seed;
	storm->patience = patience;
	storm->group = group_new(VMS, seeds_of_site, 3, seed);
	storm->window = WINDOWS_FROM;
	for (i = 0; i < VMS; i++)
		storm->gone[i] = i >= VOTERS;
	for (i = 0; i < VOTERS; i++)
		group_start(storm->group, i);
	group_run(storm->group, SECOND + pick(storm, 300) * GROUP_STEP_US);
	storm->calm_us = group_now(storm->group);
	for (i = 0; i < ACTIONS; i++) {
		act(storm);
		group_run(storm->group, (1 + pick(storm, 40)) * GROUP_STEP_US);
		group_begun(storm->group, storm->window + i / 12, 1 + i);
		group_answer_calls(storm->group, RESULT_OK);
		take_answers(storm);
		note_whole(storm);
	}
	check_end(storm);
	group_free(storm->group);
}

static void storms(void)
{
	const char *range = g_getenv("STORM_SEEDS");
	struct storm storm;
	int to = SEEDS_TO;
	int from = SEEDS_FROM;
	int changes = 0;
	int reads = 0;
	int seed;
	size_t i;

	if (range)
		sscanf(range, "%d-%d", &from, &to);
	for (i = 0; !range && i < G_N_ELEMENTS(failed_once); i++)
		play(failed_once[i].seed, failed_once[i].patience, &storm);
	for (seed = from; seed <= to; seed++) {
		play((uint64_t)seed, 1 + seed % 4, &storm);
		changes += storm.n_acked;
		reads += storm.reads;
	}
	g_test_message("%d changes, %d reads", changes, reads);
	g_assert_cmpint(changes, >, 5 * (to - from + 1));
	g_assert_cmpint(reads, >, 3 * (to - from + 1));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/control/storms", storms);
	return g_test_run();
}
