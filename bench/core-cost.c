#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "core/core.h"
#include "fleet/backend.h"

/*
 * What the reducer costs: processor time for a request, an announcement, a
 * tick and an accepted change, as the number of organisations and backend
 * servers grows. One core in one process; nothing is sent anywhere.
 */

#define COST_KEY_HASH \
	"1111111111111111111111111111111111111111111111111111111111111111"
#define COST_OPERATOR_HASH \
	"2222222222222222222222222222222222222222222222222222222222222222"
#define COST_PEER 7777
#define COST_TICK_US 50000
#define COST_TRACE "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"

struct cost {
	struct core *core;
	int64_t now_us;
	uint64_t next_id;
	uint64_t started_id; /* last START_ATTEMPT seen */
	int64_t started_attempt;
	int64_t answered;
	int64_t sent_bytes; /* of LINK_FLEET */
	double peer_bytes_a_s;
};

static double cost_cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void cost_give(struct cost *cost, struct event *event);

static void cost_carry_out(struct cost *cost, struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects))) {
		if (effect->kind == EFFECT_LOG_SYNC) {
			struct event *synced = event_new(EVENT_DISK_SYNCED);

			synced->u.synced.ticket = effect->u.log_sync.ticket;
			cost_give(cost, synced);
		} else if (effect->kind == EFFECT_START_ATTEMPT) {
			cost->started_id = effect->u.start.id;
			cost->started_attempt = effect->u.start.attempt;
		} else if (effect->kind == EFFECT_ANSWER) {
			cost->answered += effect->u.answer.code == RESULT_OK;
		} else if (effect->kind == EFFECT_SEND &&
			   effect->u.send.channel == LINK_FLEET) {
			cost->sent_bytes += (int64_t)effect->u.send.body.len;
		}
		effect_free(effect);
	}
}

static void cost_give(struct cost *cost, struct event *event)
{
	struct effects effects;

	effects_init(&effects);
	core_step(cost->core, event, cost->now_us, &effects);
	cost_carry_out(cost, &effects);
}

static void cost_tick(struct cost *cost, int64_t us)
{
	struct event *tick = event_new(EVENT_TICK);

	cost->now_us += us;
	tick->u.tick.wall_us = INT64_C(1800000000000000) + cost->now_us;
	cost_give(cost, tick);
}

static void cost_admin(struct cost *cost, const char *command, const char *args)
{
	struct event *event = event_new(EVENT_ADMIN);

	event->u.admin.id = cost->next_id++;
	event->u.admin.key_hash = xstrdup(COST_OPERATOR_HASH);
	event->u.admin.command = xstrdup(command);
	bytes_append_text(&event->u.admin.body, args);
	cost_give(cost, event);
}

static struct event *cost_announcement(struct cost *cost, int number)
{
	struct event *event = event_new(EVENT_ANNOUNCE);
	struct event_announce *announce = &event->u.announce;

	announce->address = xstrfmt("10.%d.%d.%d:8000", number / 65536,
				    number / 256 % 256, number % 256);
	announce->boot_id = xstrdup("0123456789abcdef");
	announce->sequence = cost->now_us;
	announce->zone = xstrfmt("zone-%d", number % 9);
	announce->model = xstrfmt("model-%d", number % 28);
	announce->version = xstrdup("1");
	announce->role = xstrdup("serve");
	announce->lease_ms = 600000;
	announce->slots = 32;
	announce->kv_tokens = 400000;
	announce->prefill_rate = 20000;
	announce->decode_rate = 1600;
	return event;
}

/* One other daemon, to count what it is told. */
static void cost_link_peer(struct cost *cost)
{
	struct event *event = event_new(EVENT_LINK_UP);

	event->u.link_up.peer = COST_PEER;
	event->u.link_up.name = xstrdup("vm-2");
	event->u.link_up.zone = xstrdup("zone-1");
	cost_give(cost, event);
}

static void cost_organisation(struct cost *cost, int number)
{
	cleanup(free_ptr) char *args =
		xstrfmt("{\"path\":\"team/t/organisation/org-%d\",\"value\":"
			"{\"max_concurrent\":100,\"tokens_per_min\":10000000}}",
			number);
	cleanup(free_ptr) char *key = xstrfmt(
		"{\"id\":\"key-%d\",\"hash\":\"%064d\",\"organisation\":"
		"\"org-%d\",\"default_class\":\"c\"}",
		number, number + 1, number);

	cost_admin(cost, "settings-set", args);
	cost_admin(cost, "key-grant", key);
}

static void cost_start(struct cost *cost, int organisations, int backends)
{
	struct core_options options = { 0 };
	struct raft_persistent_state saved = { 0 };
	struct effects effects;
	int i;

	memset(cost, 0, sizeof(*cost));
	cost->now_us = 1000000000;
	cost->next_id = 1;
	options.self = 1;
	options.incarnation = 1;
	options.seed = 1;
	options.vm = "vm-1";
	options.zone = "zone-0";
	options.address = "10.0.0.1:7000";
	options.disk = true;
	options.bootstrap = true;
	options.seed_key_hash = COST_OPERATOR_HASH;
	bytes_append_text(&options.seed_values,
			  "{\"team/t/class/c\":{\"tier\":0,"
			  "\"deadline_ms\":60000}}");
	effects_init(&effects);
	if (core_new(&cost->core, &options, &saved, cost->now_us, &effects))
		exit(EXIT_FAILURE);
	bytes_clear(&options.seed_values);
	cost_carry_out(cost, &effects);
	for (i = 0; i < 1000; i++)
		cost_tick(cost, 10000);
	for (i = 0; i < organisations; i++)
		cost_organisation(cost, i);
	cost_link_peer(cost);
	for (i = 0; i < backends; i++)
		cost_give(cost, cost_announcement(cost, i));
	cost_tick(cost, 10000);
}

static void cost_request(struct cost *cost, int organisation)
{
	struct event *event = event_new(EVENT_REQUEST);
	struct event_request *request = &event->u.request;

	request->id = cost->next_id++;
	request->kind = REQUEST_CHAT;
	request->trace = xstrdup(COST_TRACE);
	request->key_hash = xstrfmt("%064d", organisation + 1);
	request->body_hash = xstrfmt("%" PRIu64, request->id);
	request->model = xstrdup("model-0");
	request->prompt_tokens = 400;
	request->max_tokens = 200;
	request->stream = true;
	cost_give(cost, event);
}

static void cost_end_attempt(struct cost *cost)
{
	struct event *sent = event_new(EVENT_ATTEMPT_SENT);
	struct event *tokens = event_new(EVENT_ATTEMPT_TOKENS);
	struct event *ended = event_new(EVENT_ATTEMPT_ENDED);

	sent->u.sent.id = cost->started_id;
	sent->u.sent.attempt = cost->started_attempt;
	tokens->u.tokens.id = cost->started_id;
	tokens->u.tokens.attempt = cost->started_attempt;
	tokens->u.tokens.tokens = 1;
	tokens->u.tokens.first = true;
	ended->u.ended.id = cost->started_id;
	ended->u.ended.attempt = cost->started_attempt;
	ended->u.ended.http_status = 200;
	ended->u.ended.tokens = 100;
	ended->u.ended.sent = true;
	cost->now_us += 100;
	cost_give(cost, sent);
	cost_give(cost, tokens);
	cost_give(cost, ended);
}

static double cost_of_requests(struct cost *cost, int organisations, int n)
{
	double start_us = cost_cpu_us();
	int i;

	for (i = 0; i < n; i++) {
		cost_request(cost, i % organisations);
		cost_end_attempt(cost);
		if (i % 100 == 99)
			cost_tick(cost, 10000);
	}
	if (cost->answered != n)
		fprintf(stderr, "core-cost: %" PRId64 " of %d answered\n",
			cost->answered, n);
	return (cost_cpu_us() - start_us) / n;
}

/* Each server reports once a second; ticks go on beside. */
static double cost_of_announcements(struct cost *cost, int backends, int n)
{
	int64_t step_us = 1000000 / backends;
	int64_t began_us = cost->now_us;
	int64_t ticked_us = cost->now_us;
	double spent_us = 0;
	int i;

	cost->sent_bytes = 0;
	for (i = 0; i < n; i++) {
		double start_us = cost_cpu_us();

		cost->now_us += step_us;
		cost_give(cost, cost_announcement(cost, i % backends));
		spent_us += cost_cpu_us() - start_us;
		if (cost->now_us - ticked_us < COST_TICK_US)
			continue;
		ticked_us = cost->now_us;
		cost_tick(cost, 0);
	}
	cost->peer_bytes_a_s = (double)cost->sent_bytes * 1e6 /
			       (double)(cost->now_us - began_us);
	return spent_us / n;
}

static double cost_of_ticks(struct cost *cost, int n)
{
	double start_us = cost_cpu_us();
	int i;

	for (i = 0; i < n; i++)
		cost_tick(cost, 50000);
	return (cost_cpu_us() - start_us) / n;
}

static double cost_of_changes(struct cost *cost, int n)
{
	double start_us = cost_cpu_us();
	int i;

	for (i = 0; i < n; i++) {
		cleanup(free_ptr) char *args =
			xstrfmt("{\"path\":\"team/t/class/c/deadline_ms\","
				"\"value\":%d}",
				50000 + i);

		cost_admin(cost, "settings-set", args);
	}
	return (cost_cpu_us() - start_us) / n;
}

static long cost_resident_kb(void)
{
	FILE *file = fopen("/proc/self/statm", "re");
	long pages = 0;

	if (!file)
		return 0;
	if (fscanf(file, "%*d %ld", &pages) != 1)
		pages = 0;
	fclose(file);
	return pages * 4;
}

static void cost_row(int organisations, int backends)
{
	struct cost cost;
	double request;
	double announcement;
	double tick;
	double change;

	cost_start(&cost, organisations, backends);
	request = cost_of_requests(&cost, organisations, 20000);
	announcement = cost_of_announcements(&cost, backends, 20000);
	tick = cost_of_ticks(&cost, 400);
	change = cost_of_changes(&cost, 1000);
	printf("%13d %15d %11.2f %16.2f %9.1f %11.1f %16.0f %10ld\n",
	       organisations, backends, request, announcement, tick, change,
	       cost.peer_bytes_a_s, cost_resident_kb());
	core_free(cost.core);
}

int main(void)
{
	static const int sizes[][2] = { { 10, 16 },    { 10, 100 },
					{ 10, 1000 },  { 450, 100 },
					{ 4500, 100 }, { 4500, 1000 } };
	size_t i;

	printf("processor time of the reducer, microseconds\n"
	       "organisations backend_servers   a_request  an_announcement "
	       "   a_tick    a_change  to_a_peer_B/s  resident_KB\n");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		cost_row(sizes[i][0], sizes[i][1]);
	return EXIT_SUCCESS;
}
