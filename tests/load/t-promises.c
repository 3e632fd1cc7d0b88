#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "fleet/backend.h"
#include "load/router.h"

/*
 * Checks the guarantees of one router in seeded random runs. A random edge ends
 * attempts in any order and with any code, late or without sending them;
 * servers join, leave, crash and stop announcing themselves; callers
 * disconnect, keys are withdrawn and classes change. The guarantees are checked
 * at each effect and at the end.
 */
#define SECOND INT64_C(1000000)
#define N_REQUESTS 1500
#define N_ATTEMPTS 16
#define N_SERVERS 5
#define N_CLASSES 3

struct tried {
	bool active;
	bool sent;
	bool cancelled;
};

struct asked {
	int answers;
	int finished;
	bool idempotent;
	int64_t deadline_us;
	int n_attempts;
	struct tried attempts[N_ATTEMPTS];
};

struct world {
	struct rng rng;
	struct fleet fleet;
	struct router *router;
	struct effects effects;
	int64_t now_us;
	int64_t sequence[N_SERVERS];
	int boots[N_SERVERS];
	struct asked asked[N_REQUESTS + 1];
	uint64_t last_id;
};

static const char *const class_names[N_CLASSES] = { "high", "middle", "low" };

static bool chance(struct world *world, uint64_t one_in)
{
	return !rng_below(&world->rng, one_in);
}

static void world_finished(void *data, const struct router_outcome *outcome)
{
	struct world *world = data;

	world->asked[outcome->id].finished++;
}

static bool any_sent(const struct asked *asked)
{
	int i;

	for (i = 1; i <= asked->n_attempts; i++)
		if (asked->attempts[i].sent)
			return true;
	return false;
}

static void check_start(struct world *world,
			const struct effect_start_attempt *start)
{
	struct asked *asked = &world->asked[start->id];
	const struct backend *backend;
	int i;

	g_assert_cmpint(asked->answers, ==, 0);
	for (i = 1; i <= asked->n_attempts; i++)
		g_assert_false(asked->attempts[i].active);
	g_assert_cmpint(start->attempt, ==, asked->n_attempts + 1);
	g_assert_cmpint(start->attempt, <, N_ATTEMPTS);
	/* Non-repeatable work is never sent twice. */
	g_assert_true(asked->idempotent || !any_sent(asked));
	g_assert_cmpint(world->now_us, <, asked->deadline_us);
	backend = fleet_find(&world->fleet, start->address);
	g_assert_nonnull(backend);
	g_assert_false(backend->leaving);
	g_assert_cmpint(world->now_us, <, backend->lease_end_us);
	asked->n_attempts++;
	asked->attempts[start->attempt].active = true;
}

static void check_answer(struct world *world,
			 const struct effect_answer *answer)
{
	struct asked *asked = &world->asked[answer->id];
	int i;

	g_assert_cmpint(++asked->answers, ==, 1);
	if (answer->run != RUN_NOT)
		return;
	/*
	 * A request answered as "not run" was never sent and has no active
	 * attempt.
	 */
	g_assert_false(any_sent(asked));
	for (i = 1; i <= asked->n_attempts; i++)
		g_assert_false(asked->attempts[i].active);
}

static void world_effects(struct world *world)
{
	struct effect *effect;

	while ((effect = effects_take(&world->effects))) {
		const struct effect_cancel_attempt *cancel = &effect->u.cancel;

		if (effect->kind == EFFECT_START_ATTEMPT)
			check_start(world, &effect->u.start);
		if (effect->kind == EFFECT_ANSWER)
			check_answer(world, &effect->u.answer);
		if (effect->kind == EFFECT_CANCEL_ATTEMPT)
			world->asked[cancel->id]
				.attempts[cancel->attempt]
				.cancelled = true;
		effect_free(effect);
	}
}

static void act_submit(struct world *world)
{
	char body[16];
	char key[4];
	struct router_request request = {
		.organisation = chance(world, 3) ? "a" : "b",
		.key_id = key,
		.class_name = class_names[rng_below(&world->rng, N_CLASSES)],
		.model = "base",
		.body_hash = body,
		.prompt_tokens = 100,
		.arrived_us = world->now_us,
		.stream = chance(world, 2),
	};
	struct asked *asked;

	if (world->last_id == N_REQUESTS)
		return;
	request.id = ++world->last_id;
	asked = &world->asked[request.id];
	g_snprintf(key, sizeof(key), "k%d", (int)rng_below(&world->rng, 4));
	g_snprintf(body, sizeof(body), "%d", (int)rng_below(&world->rng, 4000));
	asked->idempotent = chance(world, 2);
	request.idempotent = asked->idempotent;
	request.deadline_us = world->now_us + SECOND +
			      (int64_t)rng_below(&world->rng, 9 * SECOND);
	asked->deadline_us = request.deadline_us;
	router_submit(world->router, &request, world->now_us, &world->effects);
}

/* Reports progress or, if `end` is set, the end of an active attempt. */
static void act_report(struct world *world, uint64_t id, bool end)
{
	static const enum result codes[] = {
		RESULT_OK,
		RESULT_OK,
		RESULT_OK,
		RESULT_BACKEND_BROKE,
		RESULT_BACKEND_CONNECT,
		RESULT_BACKEND_TIMEOUT,
		RESULT_BACKEND_ERROR,
	};
	struct asked *asked = &world->asked[id];
	struct event_attempt_ended ended = { .id = id, .http_status = 500 };
	int64_t at = asked->n_attempts;
	struct tried *tried = &asked->attempts[at];

	if (!at || !tried->active)
		return;
	if (!tried->sent && !chance(world, 4)) {
		struct event_attempt_sent sent = { id, at };

		tried->sent = true;
		router_sent(world->router, &sent, world->now_us,
			    &world->effects);
	}
	if (tried->sent && chance(world, 2)) {
		struct event_attempt_tokens tokens = { id, at, 3, true };

		router_tokens(world->router, &tokens, world->now_us,
			      &world->effects);
	}
	if (!end)
		return;
	ended.attempt = at;
	ended.code = tried->cancelled ? RESULT_CALLER_LEFT
				      : codes[rng_below(&world->rng, 7)];
	if (!tried->sent)
		ended.code = RESULT_BACKEND_CONNECT;
	ended.sent = tried->sent;
	ended.tokens = 5;
	tried->active = false;
	router_ended(world->router, &ended, world->now_us, &world->effects);
}

static void act_announce(struct world *world, int at, bool leaving)
{
	char address[16];
	char boot[16];
	struct event_announce announce = {
		.address = address,
		.boot_id = boot,
		.model = "base",
		.lease_ms = 4000,
		.slots = 4,
		.leaving = leaving,
	};

	g_snprintf(address, sizeof(address), "10.0.0.%d:1", at);
	g_snprintf(boot, sizeof(boot), "b%d", world->boots[at]);
	announce.sequence = ++world->sequence[at];
	fleet_announce(&world->fleet, &announce, world->now_us);
	if (fleet_expire(&world->fleet, world->now_us, NULL, NULL) >= 0)
		router_fleet_changed(world->router, world->now_us,
				     &world->effects);
}

static void act_class(struct world *world)
{
	int at = (int)rng_below(&world->rng, N_CLASSES);
	struct class_rule rule = {
		.tier = (int)rng_below(&world->rng, 4),
		.first_token_us = (int64_t)rng_below(&world->rng, 3 * SECOND),
		.deadline_us = 10 * SECOND,
		.min_share = 0.1,
		.queue_bound = chance(world, 2) ? 20 : 0,
	};

	g_strlcpy(rule.name, class_names[at], sizeof(rule.name));
	if (chance(world, 6))
		router_remove_class(world->router, rule.name, world->now_us,
				    &world->effects);
	else
		router_set_class(world->router, &rule, world->now_us,
				 &world->effects);
}

static uint64_t some_id(struct world *world)
{
	uint64_t back = rng_below(&world->rng, 40);

	return world->last_id > back ? world->last_id - back : 1;
}

static void act(struct world *world)
{
	int server = (int)rng_below(&world->rng, N_SERVERS);

	world->now_us += (int64_t)rng_below(&world->rng, 20000);
	switch (rng_below(&world->rng, 16)) {
	case 0:
	case 1:
	case 2:
		act_submit(world);
		break;
	case 3:
		if (chance(world, 30))
			world->boots[server]++;
		act_announce(world, server, chance(world, 20));
		break;
	case 4:
		router_tick(world->router, world->now_us, &world->effects);
		break;
	case 5:
		if (chance(world, 5))
			router_caller_left(world->router, some_id(world),
					   world->now_us, &world->effects);
		break;
	case 6:
		if (chance(world, 60))
			router_withdraw_key(world->router, "k1", world->now_us,
					    &world->effects);
		if (chance(world, 40))
			act_class(world);
		break;
	default:
		act_report(world, some_id(world), chance(world, 2));
	}
	world_effects(world);
}

static void world_open(struct world *world, uint64_t seed)
{
	struct router_options options = {
		.seed = seed,
		.self = 1,
		.fleet = &world->fleet,
		.features = router_features_all(),
		.hooks = { world_finished, world },
	};
	int i;

	world->rng.state = seed;
	world->now_us = SECOND;
	fleet_init(&world->fleet);
	effects_init(&world->effects);
	world->router = router_new(&options);
	for (i = 0; i < 20; i++)
		act_class(world);
	for (i = 0; i < N_SERVERS; i++)
		act_announce(world, i, false);
}

/*
 * Ends all attempts and advances the time; each request must have exactly one
 * answer.
 */
static void world_end(struct world *world)
{
	uint64_t id;
	int round;

	for (round = 0; round < 40; round++) {
		for (id = 1; id <= world->last_id; id++) {
			act_report(world, id, true);
			world_effects(world);
		}
		world->now_us += SECOND;
		router_tick(world->router, world->now_us, &world->effects);
		world_effects(world);
	}
	for (id = 1; id <= world->last_id; id++) {
		g_assert_cmpint(world->asked[id].answers, ==, 1);
		g_assert_cmpint(world->asked[id].finished, ==, 1);
	}
	g_assert_cmpint(router_load(world->router), ==, 0);
	router_free(world->router);
	effects_clear(&world->effects);
	fleet_clear(&world->fleet);
}

static void promises_hold_in_random_runs(void)
{
	uint64_t seed;
	int step;

	for (seed = 1; seed <= 40; seed++) {
		struct world *world = g_new0(struct world, 1);

		world_open(world, seed);
		for (step = 0; step < 8000; step++)
			act(world);
		world_end(world);
		g_free(world);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/promises/random", promises_hold_in_random_runs);
	return g_test_run();
}
