#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "bed.h"
#include "load/warmup.h"

#define VMS 80
#define COLD 35
#define WARM 20
#define BOUND 19 /* requests a second that a cold server bears */
#define PER_S 9.5
#define STEP_US INT64_C(5000)
#define SERVICE_US INT64_C(150000)
#define COLD_US (3 * SECOND)

/* An attempt at a server, until it ends. */
struct running {
	uint64_t id;
	int64_t attempt;
	int64_t ends_us;
};

struct vm {
	struct bed bed;
	GArray *running;   /* struct running */
	int64_t offset_us; /* its clock differs from the others' */
};

struct site {
	struct vm vms[VMS];
	GArray *sent[COLD]; /* int64_t, times */
	int n_cold;
	int n_warm;
	int served;
	struct rng rng;
};

static void name_server(char address[32], int i)
{
	g_snprintf(address, 32, "10.0.0.%d:1", i + 1);
}

/* The cold ones come first. */
static void start_servers(struct site *site, struct vm *vm, double per_s)
{
	char address[32];
	int i;

	for (i = 0; i < site->n_cold + site->n_warm; i++) {
		name_server(address, i);
		bed_engine(&vm->bed, address, 24, 1);
		fleet_find(&vm->bed.fleet, address)->lease_end_us = INT64_MAX;
		if (i < site->n_cold)
			fleet_set_cold(&vm->bed.fleet, address,
				       vm->bed.now_us + COLD_US, per_s);
	}
}

static void open_site(struct site *site, int n_cold, int n_warm)
{
	struct retry_limit limit = { 0.2, 194, 10 * SECOND, VMS, false };
	int i;

	memset(site, 0, sizeof(*site));
	site->rng.state = 7;
	site->n_cold = n_cold;
	site->n_warm = n_warm;
	for (i = 0; i < VMS; i++) {
		struct vm *vm = &site->vms[i];

		bed_open_as(&vm->bed, (uint64_t)i + 1);
		vm->offset_us = (int64_t)rng_below(&site->rng, SECOND);
		vm->bed.now_us += vm->offset_us;
		vm->running = g_array_new(false, false, sizeof(struct running));
		router_limit_retries(vm->bed.router, &limit);
		bed_class(&vm->bed, "high", 0);
	}
	for (i = 0; i < COLD; i++)
		site->sent[i] = g_array_new(false, false, sizeof(int64_t));
}

static void close_site(struct site *site)
{
	int i;

	for (i = 0; i < VMS; i++) {
		g_array_free(site->vms[i].running, true);
		bed_close(&site->vms[i].bed);
	}
	for (i = 0; i < COLD; i++)
		g_array_free(site->sent[i], true);
}

static void note_sent(struct site *site, const char *address, int64_t now_us)
{
	char name[32];
	int i;

	for (i = 0; i < site->n_cold; i++) {
		name_server(name, i);
		if (!strcmp(name, address))
			g_array_append_val(site->sent[i], now_us);
	}
}

static void take_effects(struct site *site, struct vm *vm)
{
	struct effect *effect;

	while ((effect = effects_take(&vm->bed.effects))) {
		if (effect->kind == EFFECT_START_ATTEMPT) {
			struct running running = { effect->u.start.id,
						   effect->u.start.attempt,
						   vm->bed.now_us +
							   SERVICE_US };

			g_array_append_val(vm->running, running);
			note_sent(site, effect->u.start.address,
				  vm->bed.now_us - vm->offset_us);
		}
		site->served += effect->kind == EFFECT_ANSWER &&
				effect->u.answer.code == RESULT_OK;
		effect_free(effect);
	}
}

static void end_attempts(struct site *site, struct vm *vm)
{
	guint i = 0;

	while (i < vm->running->len) {
		struct running running =
			g_array_index(vm->running, struct running, i);

		if (running.ends_us > vm->bed.now_us) {
			i++;
			continue;
		}
		g_array_remove_index_fast(vm->running, i);
		bed_end(&vm->bed, running.id, running.attempt, RESULT_OK, true);
		take_effects(site, vm);
	}
}

static void submit(struct site *site, struct vm *vm)
{
	struct router_request ask = {
		.id = ++vm->bed.last_id,
		.organisation = "yards",
		.class_name = "high",
		.model = "base",
		.prefix_hash = 1 + rng_below(&site->rng, 3),
		.prompt_tokens = 3000,
		.shared_tokens = 2000,
		.arrived_us = vm->bed.now_us,
		.deadline_us = vm->bed.now_us + 4 * SECOND,
		.idempotent = true,
	};

	router_submit(vm->bed.router, &ask, vm->bed.now_us, &vm->bed.effects);
	take_effects(site, vm);
}

/* Requests come at `per_s` over all VMs, for `us`. */
static void play(struct site *site, double per_s, int64_t us)
{
	double chance = per_s / VMS * (double)STEP_US / 1e6;
	int64_t at_us;
	int i;

	for (at_us = 0; at_us < us; at_us += STEP_US)
		for (i = 0; i < VMS; i++) {
			struct vm *vm = &site->vms[i];

			vm->bed.now_us += STEP_US;
			end_attempts(site, vm);
			if (rng_unit(&site->rng) < chance)
				submit(site, vm);
			router_tick(vm->bed.router, vm->bed.now_us,
				    &vm->bed.effects);
			take_effects(site, vm);
		}
}

/* Most requests that one cold server got in any second. */
static int most_in_a_second(const struct site *site)
{
	int most = 0;
	int i;

	for (i = 0; i < site->n_cold; i++) {
		const GArray *sent = site->sent[i];
		guint from = 0;
		guint at;

		for (at = 0; at < sent->len; at++) {
			while (g_array_index(sent, int64_t, at) -
				       g_array_index(sent, int64_t, from) >=
			       SECOND)
				from++;
			most = MAX(most, (int)(at - from + 1));
		}
	}
	return most;
}

static void start_all(struct site *site, double per_s)
{
	int i;

	for (i = 0; i < VMS; i++)
		start_servers(site, &site->vms[i], per_s);
}

/*
 * A zone comes back during a burst: its servers are idle, so all VMs send to
 * them at once, and they crash.
 */
static void test_zone_returns(void)
{
	struct site site;

	open_site(&site, COLD, WARM);
	start_all(&site, PER_S);
	play(&site, 1600, COLD_US - STEP_US);
	g_assert_cmpint(most_in_a_second(&site), <=, BOUND);
	g_assert_cmpint(site.served, >, 4000);
	close_site(&site);
}

/* The same without a bound, so that the test above can fail. */
static void test_zone_returns_unbounded(void)
{
	struct site site;

	open_site(&site, COLD, WARM);
	start_all(&site, 0);
	play(&site, 1600, COLD_US - STEP_US);
	g_assert_cmpint(most_in_a_second(&site), >, BOUND);
	close_site(&site);
}

/* All servers are cold: some requests are served, and none crashes. */
static void test_all_cold(void)
{
	struct site site;

	open_site(&site, COLD, 0);
	start_all(&site, PER_S);
	play(&site, 1600, COLD_US - STEP_US);
	g_assert_cmpint(most_in_a_second(&site), <=, BOUND);
	g_assert_cmpint(site.served, >, COLD * 3);
	close_site(&site);
}

/*
 * One VM is cut off and shares the bound with fewer VMs than there are by now;
 * another one hears of the servers a second late.
 */
static void test_late_and_cut_off(void)
{
	struct retry_limit before = { 0.2, 194, 10 * SECOND, VMS / 4, false };
	struct site site;
	int i;

	open_site(&site, COLD, WARM);
	router_limit_retries(site.vms[0].bed.router, &before);
	for (i = 0; i < VMS - 1; i++)
		start_servers(&site, &site.vms[i], PER_S);
	play(&site, 1600, SECOND);
	start_servers(&site, &site.vms[VMS - 1], PER_S);
	play(&site, 1600, COLD_US - SECOND - STEP_US);
	g_assert_cmpint(most_in_a_second(&site), <=, BOUND);
	close_site(&site);
}

/* One cold server among warm ones is the home of what most callers ask for. */
static void test_home_is_cold(void)
{
	struct site site;

	open_site(&site, 1, WARM);
	start_all(&site, PER_S);
	play(&site, 600, COLD_US - STEP_US);
	g_assert_cmpint(most_in_a_second(&site), <=, BOUND);
	close_site(&site);
}

/* A VM that doesn't know how many there are would take the whole bound. */
static void test_unknown_number(void)
{
	struct backend backend = { .cold_per_s = PER_S,
				   .cold_until_us = 10 * SECOND };
	struct warmup_vm vm = { 1, 0 };
	int64_t at_us;
	int sent = 0;

	for (at_us = 0; at_us < 10 * SECOND; at_us += SECOND)
		sent += warmup_quota(&backend, &vm, at_us);
	g_assert_cmpint(sent, ==, 0);
	vm.vms = 1;
	for (at_us = 0; at_us < 10 * SECOND; at_us += SECOND)
		sent += warmup_quota(&backend, &vm, at_us);
	g_assert_cmpint(sent, >=, 20);
	g_assert_cmpint(sent, <=, 30);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/warmup/zone-returns", test_zone_returns);
	g_test_add_func("/warmup/zone-returns-unbounded",
			test_zone_returns_unbounded);
	g_test_add_func("/warmup/all-cold", test_all_cold);
	g_test_add_func("/warmup/late-and-cut-off", test_late_and_cut_off);
	g_test_add_func("/warmup/home-is-cold", test_home_is_cold);
	g_test_add_func("/warmup/unknown-number", test_unknown_number);
	return g_test_run();
}
