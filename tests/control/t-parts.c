#include <glib.h>
#include <string.h>

#include "entries.h"

#define SECOND INT64_C(1000000)
#define VMS 7
#define MANY_VMS 60
#define SERVERS 12
#define SLOTS 24

/* Crashes after which a part is sent on, when VMs in touch know, and then. */
#define CRASHES 5
#define CONTACT_US (3 * SECOND)
#define SENT_LATER 3

/* An entry VM's links may carry so much more for this. */
#define BYTES_PER_S 2000

#define WORK_US 100000
#define CRASH_US 50000

/* Parts of prompts; those of sessions and of single requests are above. */
enum { SYSTEM = 1, TOOLS, DEADLY, DEADLY_TOO, SESSIONS = 100, OWN = 1000 };

#define N_SESSIONS 20
#define PARTS_MOST 3

/* How deadly requests look; 0 stands for a part that only they have. */
struct way {
	double per_s;
	uint64_t parts[PARTS_MOST];
	const char *path; /* NULL: as the sound ones */
};

struct play {
	struct entries *entries;
	struct rng rng;
	double sound_per_s;
	double due;
	double due_deadly;
	uint64_t own;
	int64_t work_us;  /* of sound requests; 0 for the usual time */
	int vms_left_out; /* the last ones get no requests */
	bool leave;	  /* callers of sound requests do, at once */
};

static struct play begin_many(int n_vms)
{
	struct play play = { .entries = entries_new(n_vms, SERVERS),
			     .rng = { 5 },
			     .sound_per_s = 40 };
	int i;

	for (i = 0; i < SERVERS; i++) {
		play.entries->servers[i].slots = SLOTS;
		play.entries->servers[i].queue = 4;
	}
	return play;
}

static struct play begin(void)
{
	return begin_many(VMS);
}

static void send(struct play *play, const char *path, const uint64_t *parts,
		 bool crashes)
{
	int vms = play->entries->n_vms - play->vms_left_out;
	g_autofree char *body =
		g_strdup_printf("b%u", play->entries->asks->len);
	struct entries_ask ask = {
		.path = path,
		.body = body,
		.prompt_tokens = 1000,
		.output_tokens = 50,
		.work_us = crashes	   ? CRASH_US
			   : play->work_us ? play->work_us
					   : WORK_US,
		.parts = parts,
		.n_parts = PARTS_MOST,
		.crashes = crashes,
		.leaves = play->leave && !crashes,
	};

	entries_send(play->entries, (int)rng_below(&play->rng, (uint64_t)vms),
		     &ask);
}

static void send_sound(struct play *play)
{
	uint64_t parts[PARTS_MOST] = { SYSTEM, TOOLS };

	parts[2] = SESSIONS + rng_below(&play->rng, N_SESSIONS);
	send(play, ENTRIES_SMALL, parts, false);
}

static void send_deadly(struct play *play, const struct way *way)
{
	uint64_t parts[PARTS_MOST];
	int i;

	memcpy(parts, way->parts, sizeof(parts));
	for (i = 0; i < PARTS_MOST; i++)
		if (!parts[i])
			parts[i] = OWN + play->own++;
	send(play, way->path ? way->path : ENTRIES_SMALL, parts, true);
}

static void send_due(struct play *play, const struct way *way)
{
	play->due_deadly += way->per_s * GROUP_STEP_US / 1e6;
	for (; play->due_deadly >= 1; play->due_deadly--)
		send_deadly(play, way);
}

/* Sound requests and, unless `way` is NULL, deadly ones beside. */
static void run(struct play *play, const struct way *way, int64_t us)
{
	int64_t until_us = group_now(play->entries->group) + us;

	while (group_now(play->entries->group) < until_us) {
		play->due += play->sound_per_s * GROUP_STEP_US / 1e6;
		for (; play->due >= 1; play->due--)
			send_sound(play);
		if (way)
			send_due(play, way);
		entries_run(play->entries, GROUP_STEP_US);
	}
}

/* Until that many servers have crashed. */
static void run_until(struct play *play, const struct way *way, guint crashes)
{
	int steps;

	for (steps = 0; steps < 2000; steps++) {
		if (play->entries->crashed->len >= crashes)
			return;
		run(play, way, GROUP_STEP_US);
	}
	g_assert_not_reached();
}

static int count_since(const GArray *times, int64_t from_us)
{
	int n = 0;
	guint i;

	for (i = 0; i < times->len; i++)
		n += g_array_index(times, int64_t, i) >= from_us;
	return n;
}

/* Part of the sound requests that their first server served. */
static double share_served(const struct entries *entries, int64_t from_us,
			   int64_t until_us)
{
	int asked = 0;
	int served = 0;
	guint i;

	for (i = 0; i < entries->asks->len; i++) {
		const struct entries_asked *ask =
			g_ptr_array_index(entries->asks, i);

		if (ask->ask.crashes || ask->asked_us < from_us ||
		    ask->asked_us >= until_us)
			continue;
		asked++;
		served += ask->ended && !ask->code && ask->sends == 1;
	}
	g_assert_cmpint(asked, >=, 20);
	return (double)served / asked;
}

/* At most `later` deadly requests arrive once all VMs know of `crashes`. */
static void check_held(const struct play *play, guint crashes, int later)
{
	const struct entries *entries = play->entries;
	int64_t now_us = group_now(entries->group);
	int64_t fifth_us;

	/* The last one, if there are fewer. */
	g_assert_cmpint(entries->crashed->len, >, 0);
	fifth_us = g_array_index(entries->crashed, int64_t,
				 MIN(crashes, entries->crashed->len) - 1);
	g_test_message("%u crashes, %d arrivals later, %.2f of the sound ones",
		       entries->crashed->len,
		       count_since(entries->deadly, fifth_us + CONTACT_US),
		       share_served(entries, fifth_us + 2 * CONTACT_US,
				    now_us - SECOND));
	g_assert_cmpint(count_since(entries->deadly, fifth_us + CONTACT_US), <=,
			later);
	g_assert_cmpfloat(share_served(entries, fifth_us + 2 * CONTACT_US,
				       now_us - SECOND),
			  >=, 0.5);
}

static void end(struct play *play)
{
	entries_free(play->entries);
}

static void play_way(const struct way *way)
{
	struct play play = begin();

	run(&play, NULL, 4 * SECOND);
	run(&play, way, 18 * SECOND);
	check_held(&play, CRASHES, SENT_LATER);
	end(&play);
}

/* The part stands first. */
static void test_first(void)
{
	struct way way = { 10, { DEADLY, SYSTEM, TOOLS }, NULL };

	play_way(&way);
}

/* It stands second, before a part that no other request has. */
static void test_second(void)
{
	struct way way = { 10, { SYSTEM, DEADLY, 0 }, NULL };

	play_way(&way);
}

/* Sound requests of the same caller have all its other parts. */
static void test_shared(void)
{
	struct way way = { 10, { SYSTEM, TOOLS, DEADLY }, NULL };

	play_way(&way);
}

/* It is among parts that sound requests seldom have. */
static void test_beside_rare(void)
{
	struct way way = { 10, { SYSTEM, SESSIONS + 3, DEADLY }, NULL };
	struct play play = begin();
	uint64_t rare[PARTS_MOST] = { SYSTEM, TOOLS, SESSIONS + 3 };
	int held;

	run(&play, NULL, 4 * SECOND);
	run(&play, &way, 10 * SECOND);
	check_held(&play, CRASHES, SENT_LATER);
	held = play.entries->held;
	send(&play, ENTRIES_SMALL, rare, false);
	run(&play, NULL, SECOND);
	g_assert_cmpint(play.entries->held, ==, held);
	end(&play);
}

/* A few requests a second have it. */
static void test_rare(void)
{
	struct way way = { 2, { SYSTEM, TOOLS, DEADLY }, NULL };

	play_way(&way);
}

/* A part that ran well, in all requests of a route, crashes from now on. */
static void test_popular(void)
{
	struct way way = { 10, { SYSTEM, TOOLS, DEADLY }, ENTRIES_LARGE };
	uint64_t parts[PARTS_MOST] = { SYSTEM, TOOLS, DEADLY };
	struct play play = begin();
	int i;

	for (i = 0; i < 40; i++) {
		send(&play, ENTRIES_LARGE, parts, false);
		run(&play, NULL, SECOND / 10);
	}
	run(&play, &way, 18 * SECOND);
	check_held(&play, CRASHES, SENT_LATER);
	end(&play);
}

/* Two parts crash servers, apart and in one request. */
static void test_two(void)
{
	struct way one = { 5, { SYSTEM, DEADLY, TOOLS }, NULL };
	struct way two = { 5, { DEADLY_TOO, SYSTEM, 0 }, NULL };
	struct way both = { 5, { SYSTEM, DEADLY, DEADLY_TOO }, NULL };
	struct play play = begin();
	int i;

	run(&play, NULL, 4 * SECOND);
	for (i = 0; i < 100; i++) {
		run(&play,
		    i % 3 == 0	 ? &one
		    : i % 3 == 1 ? &two
				 : &both,
		    SECOND / 5);
	}
	check_held(&play, 2 * CRASHES, SENT_LATER);
	end(&play);
}

/* A VM ends with what it knows at the fourth crash. */
static void test_vm_restarts(void)
{
	struct way way = { 10, { SYSTEM, TOOLS, DEADLY }, NULL };
	struct play play = begin();

	run(&play, NULL, 4 * SECOND);
	run_until(&play, &way, CRASHES - 1);
	entries_restart(play.entries, 0);
	run(&play, &way, 12 * SECOND);
	entries_restart(play.entries, 2);
	run(&play, &way, 6 * SECOND);
	check_held(&play, CRASHES, SENT_LATER);
	end(&play);
}

/* A VM that was cut off from control VMs meanwhile, or starts again later. */
static void test_cut_off(void)
{
	struct way way = { 10, { SYSTEM, TOOLS, DEADLY }, NULL };
	struct play play = begin();
	int before;

	run(&play, NULL, 4 * SECOND);
	play.vms_left_out = 1;
	entries_cut(play.entries, VMS - 1, true);
	run(&play, &way, 8 * SECOND);
	before = (int)play.entries->deadly->len;
	entries_cut(play.entries, VMS - 1, false);
	run(&play, NULL, SECOND / 2);
	play.vms_left_out = 0;
	run(&play, &way, 8 * SECOND);
	g_assert_cmpint((int)play.entries->deadly->len, ==, before);
	check_held(&play, CRASHES, SENT_LATER);
	end(&play);
}

/* Control VMs end between the third crash and the fifth. */
static void test_control_killed(void)
{
	struct way way = { 4, { SYSTEM, TOOLS, DEADLY }, NULL };
	struct play play = begin();

	run(&play, NULL, 4 * SECOND);
	run_until(&play, &way, 3);
	group_kill(play.entries->group, 0);
	group_kill(play.entries->group, 1);
	run(&play, &way, SECOND);
	group_start(play.entries->group, 0);
	group_start(play.entries->group, 1);
	run(&play, &way, 17 * SECOND);
	check_held(&play, CRASHES, SENT_LATER);
	end(&play);
}

/* All control VMs start again, and then an entry VM. */
static void test_group_restarts(void)
{
	struct way way = { 10, { SYSTEM, TOOLS, DEADLY }, NULL };
	struct play play = begin();
	int before;
	int vm;

	run(&play, NULL, 4 * SECOND);
	run(&play, &way, 8 * SECOND);
	before = (int)play.entries->deadly->len;
	for (vm = 0; vm < 5; vm++)
		group_kill(play.entries->group, vm);
	for (vm = 0; vm < 5; vm++)
		group_start(play.entries->group, vm);
	run(&play, NULL, 5 * SECOND);
	entries_restart(play.entries, 2);
	run(&play, NULL, SECOND / 2);
	run(&play, &way, 8 * SECOND);
	g_assert_cmpint((int)play.entries->deadly->len, ==, before);
	check_held(&play, CRASHES, SENT_LATER);
	end(&play);
}

/* Each VM has a link to one control VM only, and what they are told is late. */
static void test_late(void)
{
	struct way way = { 10, { SYSTEM, TOOLS, DEADLY }, NULL };
	struct play play = begin();
	int control;
	int vm;

	for (vm = 0; vm < VMS; vm++) {
		for (control = 0; control < 5; control++)
			entries_cut_from(play.entries, vm, control,
					 control != vm % 5);
		entries_slow(play.entries, vm, SECOND / 2);
	}
	run(&play, NULL, 4 * SECOND);
	run(&play, &way, 18 * SECOND);
	check_held(&play, CRASHES, SENT_LATER);
	end(&play);
}

static void crash_servers(struct play *play, int from, int n)
{
	int i;

	for (i = from; i < from + n; i++)
		entries_restart_server(play->entries, i, "v1");
}

/* Servers that crash by themselves, one by one, hold requests. */
static void test_by_themselves(void)
{
	struct play play = begin();
	int i;

	run(&play, NULL, 4 * SECOND);
	for (i = 0; i < 16; i++) {
		crash_servers(&play, i % SERVERS, 1);
		run(&play, NULL, SECOND / 4);
	}
	run(&play, NULL, 4 * SECOND);
	g_assert_cmpint(play.entries->held, ==, 0);
	end(&play);
}

/* The loss of a zone, or of all servers, again and again, holds requests. */
static void test_all_lost(void)
{
	struct play play = begin();
	int i;

	play.sound_per_s = 400;
	run(&play, NULL, 4 * SECOND);
	crash_servers(&play, 0, SERVERS / 2);
	run(&play, NULL, SECOND / 2);
	crash_servers(&play, SERVERS / 2, SERVERS / 2);
	run(&play, NULL, 4 * SECOND);
	for (i = 0; i < 5; i++) {
		crash_servers(&play, 0, SERVERS);
		run(&play, NULL, 3 * SECOND);
	}
	g_assert_cmpint(play.entries->held, ==, 0);
	end(&play);
}

/* Answers that break off at servers that go on hold new parts. */
static void test_broken_answers(void)
{
	struct play play = begin();
	uint64_t parts[PARTS_MOST] = { SYSTEM, TOOLS };
	int i;

	for (i = 0; i < SERVERS; i++)
		play.entries->servers[i].breaks_each = i % 3 ? 3 : 2;
	for (i = 0; i < 3000; i++) {
		parts[2] = OWN + (uint64_t)i / 8;
		send(&play, ENTRIES_SMALL, parts, false);
		run(&play, NULL, GROUP_STEP_US);
	}
	g_assert_cmpint(play.entries->held, ==, 0);
	end(&play);
}

static void set_breaking(struct play *play, int each)
{
	int i;

	for (i = 0; i < SERVERS; i++)
		play->entries->servers[i].breaks_each = each;
}

/* All that servers that live on reset, as VMs start again, holds its part. */
static void test_resets(void)
{
	struct play play = begin();
	int vm;

	run(&play, NULL, 4 * SECOND);
	set_breaking(&play, 1);
	run(&play, NULL, 3 * SECOND / 2);
	for (vm = 0; vm < VMS; vm++)
		entries_restart(play.entries, vm);
	run(&play, NULL, 10 * SECOND);
	set_breaking(&play, 0);
	run(&play, NULL, CONTACT_US);
	play.entries->held = 0;
	run(&play, NULL, 10 * SECOND);
	g_assert_cmpint(play.entries->held, ==, 0);
	end(&play);
}

static int count_held_sound(const struct entries *entries, int64_t from_us)
{
	int n = 0;
	guint i;

	for (i = 0; i < entries->asks->len; i++) {
		const struct entries_asked *ask =
			g_ptr_array_index(entries->asks, i);

		n += !ask->ask.crashes && ask->asked_us >= from_us &&
		     ask->ended && ask->code == RESULT_POISON;
	}
	return n;
}

/* A part whose callers all leave early is held for the crashes of another. */
static void test_all_leave(void)
{
	struct way way = { 10, { SYSTEM, DEADLY, 0 }, NULL };
	struct play play = begin();
	int64_t fifth_us;

	play.leave = true;
	run(&play, NULL, 6 * SECOND);
	run(&play, &way, 18 * SECOND);
	g_assert_cmpint(play.entries->crashed->len, >=, 4);
	fifth_us = g_array_index(play.entries->crashed, int64_t,
				 MIN(CRASHES, play.entries->crashed->len) - 1);
	g_test_message("%u crashes, %d arrivals later, %d sound ones held",
		       play.entries->crashed->len,
		       count_since(play.entries->deadly, fifth_us + CONTACT_US),
		       count_held_sound(play.entries,
					fifth_us + 2 * CONTACT_US));
	g_assert_cmpint(count_since(play.entries->deadly,
				    fifth_us + CONTACT_US),
			<=, SENT_LATER);
	g_assert_cmpint(count_held_sound(play.entries,
					 fifth_us + 2 * CONTACT_US),
			==, 0);
	end(&play);
}

/* All VMs forget that a part is sound as servers crash one after the other. */
static void test_all_forgotten(void)
{
	struct play play = begin();
	int64_t calm_us;
	int i;

	run(&play, NULL, 4 * SECOND);
	for (i = 0; i < 5; i++)
		group_kill(play.entries->group, i);
	for (i = 0; i < 5; i++)
		group_start(play.entries->group, i);
	for (i = 0; i < VMS; i++)
		entries_restart(play.entries, i);
	play.work_us = 3 * SECOND;
	run(&play, NULL, SECOND);
	for (i = 0; i < SERVERS; i += 2) {
		crash_servers(&play, i, 2);
		run(&play, NULL, SECOND / 4);
	}
	play.work_us = 0;
	calm_us = group_now(play.entries->group);
	run(&play, NULL, 20 * SECOND);
	g_test_message("%d held at first, %d later",
		       count_held_sound(play.entries, 0),
		       count_held_sound(play.entries, calm_us + 8 * SECOND));
	g_assert_cmpint(count_held_sound(play.entries, 0), >, 0);
	g_assert_cmpint(count_held_sound(play.entries, calm_us + 8 * SECOND),
			==, 0);
	end(&play);
}

/* Many VMs tell each other of sound answers without end. */
static void test_traffic(void)
{
	struct way way = { 10, { SYSTEM, DEADLY, 0 }, NULL };
	struct play play = begin_many(MANY_VMS);
	int i;

	play.sound_per_s = 400;
	run(&play, NULL, 4 * SECOND);
	for (i = 0; i < 40; i++) {
		crash_servers(&play, i * 5 % SERVERS, 1);
		run(&play, i < 20 ? &way : NULL, SECOND / 4);
	}
	g_test_message("%d B/s an entry VM",
		       (int)(play.entries->part_bytes / 10 / MANY_VMS));
	g_assert_cmpint(play.entries->part_bytes, <=,
			10 * MANY_VMS * BYTES_PER_S);
	end(&play);
}

/* Another service, or requests without the part, are held with it. */
static void test_nothing_else(void)
{
	struct way way = { 10, { DEADLY, SYSTEM, TOOLS }, NULL };
	struct play play = begin();
	int held;

	run(&play, NULL, 4 * SECOND);
	run(&play, &way, 8 * SECOND);
	held = play.entries->held;
	g_assert_cmpint(held, >, 0);
	run(&play, NULL, 5 * SECOND);
	g_assert_cmpint(play.entries->held, ==, held);
	end(&play);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/parts/first", test_first);
	g_test_add_func("/parts/second", test_second);
	g_test_add_func("/parts/shared", test_shared);
	g_test_add_func("/parts/beside-rare", test_beside_rare);
	g_test_add_func("/parts/rare", test_rare);
	g_test_add_func("/parts/popular", test_popular);
	g_test_add_func("/parts/two", test_two);
	g_test_add_func("/parts/vm-restarts", test_vm_restarts);
	g_test_add_func("/parts/cut-off", test_cut_off);
	g_test_add_func("/parts/control-killed", test_control_killed);
	g_test_add_func("/parts/group-restarts", test_group_restarts);
	g_test_add_func("/parts/late", test_late);
	g_test_add_func("/parts/by-themselves", test_by_themselves);
	g_test_add_func("/parts/all-lost", test_all_lost);
	g_test_add_func("/parts/broken-answers", test_broken_answers);
	g_test_add_func("/parts/resets", test_resets);
	g_test_add_func("/parts/all-leave", test_all_leave);
	g_test_add_func("/parts/all-forgotten", test_all_forgotten);
	g_test_add_func("/parts/traffic", test_traffic);
	g_test_add_func("/parts/nothing-else", test_nothing_else);
	return g_test_run();
}
