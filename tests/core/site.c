#include "site.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "base/alloc.h"

#define SITE_STEP_US 10000
#define SITE_TIMEOUT_MS 20000
#define SITE_WALL_US INT64_C(1800000000000000)

static uint64_t site_id(int daemon)
{
	return (uint64_t)daemon + 101;
}

static int site_number(uint64_t id)
{
	return (int)(id - 101);
}

static void site_carry_out(struct site *site, int daemon,
			   struct effects *effects);

void site_give(struct site *site, int daemon, struct event *event)
{
	struct effects effects;

	if (site->daemons[daemon].stopped) {
		event_free(event);
		return;
	}
	effects_init(&effects);
	core_step(site->daemons[daemon].core, event,
		  site->now_us + site->daemons[daemon].clock_skew_us, &effects);
	site_carry_out(site, daemon, &effects);
}

static void site_send(struct site *site, int from, struct effect_send *send)
{
	int to = site_number(send->peer);
	struct event *event;

	if (to < 0 || to >= site->n || !site->linked[from][to] ||
	    site->cut[from][to])
		return;
	event = event_new(EVENT_LINK_MESSAGE);
	event->u.link_message.peer = site_id(from);
	event->u.link_message.channel = send->channel;
	event->u.link_message.body = bytes_copy(&send->body);
	site_give(site, to, event);
}

void site_link(struct site *site, int a, int b)
{
	struct event *event = event_new(EVENT_LINK_UP);
	char name[16];

	g_snprintf(name, sizeof(name), "vm-%d", b + 1);
	site->linked[a][b] = true;
	event->u.link_up.peer = site_id(b);
	event->u.link_up.name = xstrdup(name);
	g_snprintf(name, sizeof(name), "zone-%d", b + 1);
	event->u.link_up.zone = xstrdup(name);
	site_give(site, a, event);
}

static void site_synced(struct site *site, int daemon, int64_t ticket)
{
	struct event *event = event_new(EVENT_DISK_SYNCED);

	if (site->daemons[daemon].hold_disk) {
		site->daemons[daemon].held_ticket = ticket;
		event_free(event);
		return;
	}
	event->u.synced.ticket = ticket;
	site_give(site, daemon, event);
}

static void site_carry_out(struct site *site, int daemon,
			   struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects))) {
		switch (effect->kind) {
		case EFFECT_SEND:
			site_send(site, daemon, &effect->u.send);
			break;
		case EFFECT_LOG_SYNC:
			site_synced(site, daemon, effect->u.log_sync.ticket);
			break;
		case EFFECT_ANSWER:
		case EFFECT_START_ATTEMPT:
		case EFFECT_CANCEL_ATTEMPT:
		case EFFECT_ADMIN_ANSWER:
		case EFFECT_PLATFORM_CALL:
		case EFFECT_ENGINE_ORDER:
		case EFFECT_PUBLISH:
		case EFFECT_EXIT:
			list_append(&site->daemons[daemon].kept.head,
				    &effect->node);
			continue;
		default:
			break;
		}
		effect_free(effect);
	}
}

static void site_start_daemon(struct site *site, int daemon,
			      const char *settings)
{
	struct core_options options = { 0 };
	struct raft_persistent_state saved = { 0 };
	struct effects effects;
	char name[3][24];

	effects_init(&effects);
	effects_init(&site->daemons[daemon].kept);
	g_snprintf(name[0], sizeof(name[0]), "vm-%d", daemon + 1);
	g_snprintf(name[1], sizeof(name[1]), "zone-%d", daemon + 1);
	g_snprintf(name[2], sizeof(name[2]), "127.0.0.1:%d", 1000 + daemon);
	options.self = site_id(daemon);
	options.incarnation = 1;
	options.seed = 7 + (uint64_t)daemon;
	options.vm = name[0];
	options.zone = name[1];
	options.address = name[2];
	options.disk = true;
	options.platform = true;
	options.bootstrap = !daemon;
	if (!daemon) {
		bytes_append_text(&options.seed_values, settings);
		options.seed_key_hash = SITE_OPERATOR;
	}
	g_assert_cmpint(core_new(&site->daemons[daemon].core, &options, &saved,
				 site->now_us, &effects),
			==, RESULT_OK);
	bytes_clear(&options.seed_values);
	site_carry_out(site, daemon, &effects);
}

void site_start(struct site *site, int n, const char *settings)
{
	int a;
	int b;

	memset(site, 0, sizeof(*site));
	site->n = n;
	site->now_us = 1000000000;
	site->next_id = 1;
	site->operator_hash = SITE_OPERATOR;
	site->reported = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, free);
	for (a = 0; a < n; a++)
		site_start_daemon(site, a, settings);
	for (a = 0; a < n; a++)
		for (b = 0; b < n; b++)
			if (a != b)
				site_link(site, a, b);
	site_run(site, 12000);
	g_assert_cmpint(site_admin(site, 0, "key-grant",
				   "{\"id\":\"k\",\"hash\":\"" SITE_KEY "\","
				   "\"organisation\":\"yards\","
				   "\"default_class\":\"check\"}"),
			==, RESULT_OK);
	site_run(site, 500);
}

void site_free(struct site *site)
{
	int i;

	g_hash_table_destroy(site->reported);
	for (i = 0; i < site->n; i++) {
		core_free(site->daemons[i].core);
		effects_clear(&site->daemons[i].kept);
	}
}

void site_run(struct site *site, int64_t ms)
{
	int64_t end_us = site->now_us + ms * 1000;
	int i;

	while (site->now_us < end_us) {
		site->now_us += SITE_STEP_US;
		for (i = 0; i < site->n; i++) {
			struct event *event = event_new(EVENT_TICK);

			event->u.tick.wall_us = SITE_WALL_US + site->now_us;
			site_give(site, i, event);
		}
	}
}

void site_cut(struct site *site, int daemon, bool cut)
{
	int i;

	for (i = 0; i < site->n; i++) {
		site->cut[daemon][i] = cut;
		site->cut[i][daemon] = cut;
	}
}

void site_announce(struct site *site, int daemon, const char *address,
		   const char *model, const char *service)
{
	struct event *event = event_new(EVENT_ANNOUNCE);
	struct event_announce *announce = &event->u.announce;

	announce->address = xstrdup(address);
	announce->boot_id = xstrdup("boot-1");
	announce->sequence = site->now_us;
	announce->zone = xstrdup("zone-1");
	announce->model = xstrdup(model);
	announce->service = xstrdup(service);
	announce->version = xstrdup("1");
	announce->role = xstrdup("serve");
	announce->lease_ms = 600000;
	announce->slots = 8;
	announce->kv_tokens = 100000;
	announce->prefill_rate = 10000;
	announce->decode_rate = 800;
	site_give(site, daemon, event);
}

static struct event *site_request(struct site *site)
{
	struct event *event = event_new(EVENT_REQUEST);

	event->u.request.id = site->next_id++;
	event->u.request.trace = xstrdup(
		"00-0123456789abcdef0123456789abcdef-0123456789abcdef-01");
	event->u.request.key_hash = xstrdup(SITE_KEY);
	event->u.request.body_hash = xstrdup("b0d1");
	return event;
}

uint64_t site_chat(struct site *site, int daemon, const char *class_name)
{
	struct event *event = site_request(site);
	uint64_t id = event->u.request.id;

	event->u.request.kind = REQUEST_CHAT;
	event->u.request.class_name = xstrdup(class_name);
	event->u.request.model = xstrdup("base");
	event->u.request.prompt_tokens = 100;
	event->u.request.max_tokens = 50;
	event->u.request.stream = true;
	site_give(site, daemon, event);
	return id;
}

uint64_t site_call_service(struct site *site, int daemon,
			   const char *idempotency_key)
{
	struct event *event = site_request(site);
	uint64_t id = event->u.request.id;

	event->u.request.kind = REQUEST_SERVICE;
	event->u.request.service = xstrdup("register");
	event->u.request.method = xstrdup("POST");
	event->u.request.path = xstrdup("/movements");
	event->u.request.idempotency_key = xstrdup(idempotency_key);
	site_give(site, daemon, event);
	return id;
}

enum result site_admin(struct site *site, int daemon, const char *command,
		       const char *args)
{
	struct event *event = event_new(EVENT_ADMIN);
	uint64_t id = site->next_id++;

	event->u.admin.id = id;
	event->u.admin.key_hash = xstrdup(site->operator_hash);
	event->u.admin.command = xstrdup(command);
	bytes_append_text(&event->u.admin.body, args);
	site_give(site, daemon, event);
	return (enum result)site_await(site, daemon, EFFECT_ADMIN_ANSWER, id)
		->u.admin_answer.code;
}

static uint64_t site_effect_id(const struct effect *effect)
{
	switch (effect->kind) {
	case EFFECT_ANSWER:
		return effect->u.answer.id;
	case EFFECT_START_ATTEMPT:
		return effect->u.start.id;
	case EFFECT_CANCEL_ATTEMPT:
		return effect->u.cancel.id;
	case EFFECT_ADMIN_ANSWER:
		return effect->u.admin_answer.id;
	default:
		return 0;
	}
}

struct effect *site_find(struct site *site, int daemon, enum effect_kind kind,
			 uint64_t id)
{
	struct effect *effect;

	list_foreach(effect, &site->daemons[daemon].kept.head, node)
		if (effect->kind == kind && site_effect_id(effect) == id)
			return effect;
	return NULL;
}

struct effect *site_await(struct site *site, int daemon, enum effect_kind kind,
			  uint64_t id)
{
	int64_t until_us = site->now_us + SITE_TIMEOUT_MS * 1000;
	struct effect *found;

	while (!(found = site_find(site, daemon, kind, id)) &&
	       site->now_us < until_us)
		site_run(site, 10);
	if (!found)
		g_error("no %s for %" G_GUINT64_FORMAT, effect_name(kind), id);
	return found;
}

void site_end_attempt(struct site *site, int daemon, uint64_t id,
		      int64_t attempt, enum result code, const char *answer)
{
	struct event *event = event_new(EVENT_ATTEMPT_ENDED);
	struct event_attempt_ended *ended = &event->u.ended;

	ended->id = id;
	ended->attempt = attempt;
	ended->code = code;
	ended->sent = true;
	ended->http_status = code ? 0 : 200;
	ended->tokens = code ? 0 : 5;
	if (answer) {
		ended->content_type = xstrdup("application/json");
		bytes_append_text(&ended->answer, answer);
	}
	site_give(site, daemon, event);
}

static int64_t site_billed(struct site *site, const struct bytes *body)
{
	json_t *root = json_loadb(body->data, body->len, 0, NULL);
	const json_t *rows = json_object_get(root, "organisations");
	char *figures = json_dumps(rows, JSON_SORT_KEYS);
	gint64 *window = g_new(gint64, 1);
	const char *known;
	int64_t tokens = 0;
	json_t *row;
	size_t i;

	g_assert_nonnull(rows);
	*window = json_integer_value(json_object_get(root, "window"));
	known = g_hash_table_lookup(site->reported, window);
	if (known)
		g_assert_cmpstr(known, ==, figures);
	json_array_foreach(rows, i, row)
		tokens +=
			known ? 0
			      : json_integer_value(
					json_object_get(row, "output_tokens"));
	g_hash_table_insert(site->reported, window, figures);
	json_decref(root);
	return tokens;
}

int64_t site_take_report(struct site *site, int daemon, struct effect *effect)
{
	struct event *answer;
	int64_t tokens;

	if (effect->kind != EFFECT_PLATFORM_CALL ||
	    strcmp(effect->u.platform_call.verb, "report"))
		return 0;
	tokens = site_billed(site, &effect->u.platform_call.body);
	answer = event_new(EVENT_PLATFORM);
	answer->u.platform.order_id = xstrdup(effect->u.platform_call.order_id);
	list_remove(&effect->node);
	effect_free(effect);
	site_give(site, daemon, answer);
	return tokens;
}

int site_count_attempts(struct site *site, uint64_t id)
{
	struct effect *effect;
	int count = 0;
	int i;

	for (i = 0; i < site->n; i++)
		list_foreach(effect, &site->daemons[i].kept.head, node)
			count += effect->kind == EFFECT_START_ATTEMPT &&
				 effect->u.start.id == id;
	return count;
}

int site_leader(struct site *site)
{
	int i;

	for (i = 0; i < site->n; i++) {
		struct event *event = event_new(EVENT_ADMIN);
		uint64_t id = site->next_id++;
		struct effect *answer;

		event->u.admin.id = id;
		event->u.admin.key_hash = xstrdup(SITE_OPERATOR);
		event->u.admin.command = xstrdup("status");
		bytes_append_text(&event->u.admin.body, "{}");
		site_give(site, i, event);
		answer = site_find(site, i, EFFECT_ADMIN_ANSWER, id);
		if (answer &&
		    strstr(answer->u.admin_answer.body.data, "\"leader\":true"))
			return i;
	}
	return -1;
}
