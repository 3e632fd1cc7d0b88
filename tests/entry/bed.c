#include "bed.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/compression.h"
#include "document/encoding.h"
#include "feed/feed.h"

#define BORN_MS 7

/* A route whose requests run in one region, repeatable. */
static void add_region_route(struct document *document, const char *region)
{
	struct route *route = document_add_route(document);

	route->name = xstrdup(region);
	route->host = xstrdup("a.example");
	route->prefix = g_strdup_printf("/%s/", region);
	route->kind = ROUTE_IDEMPOTENT;
	route->timeout_ms = 4000;
	route->goal_ms = 300;
	route->attempts = 2;
	route_add_split(route, "desk", 1);
	document_add_region(&route->regions, &route->n_regions, region);
}

/*
 * Parses "VERSION KEY": one service and one organisation with that key. Of the
 * routes "lodge" is more urgent than "shed". The organisation has a rank of its
 * own, below that of the board.
 */
static struct document *read_document(void *data, const char *text, size_t len)
{
	struct document *document = document_new();
	char *copy = xmemdup(text, len);
	char *key = strchr(copy, ' ');
	struct document_organisation *holder;
	struct route *route;
	int i;

	document->version = strtoll(copy, NULL, 10);
	document_add_service(document, "desk");
	document->services[0].cold_ms = COLD_MS;
	document->services[0].cold_per_s = 9.5;
	route = document_add_route(document);
	route->name = xstrdup("lodge");
	route->host = xstrdup("a.example");
	route->prefix = xstrdup("/lodge/");
	route->kind = ROUTE_ONCE;
	route->timeout_ms = 4000;
	route->goal_ms = 300;
	route_add_split(route, "desk", 1);
	route = document_add_route(document);
	route->name = xstrdup("shed");
	route->host = xstrdup("a.example");
	route->prefix = xstrdup("/shed/");
	route->kind = ROUTE_ONCE;
	route->timeout_ms = 4000;
	route->goal_ms = 300;
	route->tier = 2;
	route_add_split(route, "desk", 1);
	route = document_add_route(document);
	route->name = xstrdup("porch");
	route->host = xstrdup("a.example");
	route->prefix = xstrdup("/porch/");
	route->kind = ROUTE_IDEMPOTENT;
	route->timeout_ms = 4000;
	route->goal_ms = 300;
	route->attempts = 2;
	route_add_split(route, "desk", 1);
	document_add_service(document, "annex");
	route = document_add_route(document);
	route->name = xstrdup("flow");
	route->host = xstrdup("a.example");
	route->prefix = xstrdup("/flow/");
	route->kind = ROUTE_STREAM;
	route->resumable = true;
	route->timeout_ms = 4000;
	route->goal_ms = 300;
	route->attempts = 2;
	route_add_split(route, "desk", 1);
	route_add_split(route, "annex", 1);
	add_region_route(document, "north");
	add_region_route(document, "south");
	for (i = 0; i < ROUTES; i++) {
		route = document_add_route(document);
		route->name = g_strdup_printf("r%d", i);
		route->host = xstrdup("a.example");
		route->prefix = g_strdup_printf("/r%d/", i);
		route->timeout_ms = 4000;
		route->goal_ms = 1000 + i;
		route->tier = 3;
		route_add_split(route, "desk", 1);
	}
	document->keyed = true;
	if (!strcmp(key + 1, BED_NO_KEYS)) {
		free(copy);
		g_assert_cmpint(document_check(document, NULL), ==, RESULT_OK);
		return document;
	}
	holder = document_add_organisation(document);
	holder->name = xstrdup("yards");
	holder->tier = 1;
	document_add_key(document, 0, key + 1);
	holder = document_add_organisation(document);
	holder->name = xstrdup("board");
	holder->tier = 0;
	document_add_key(document, 1, BOARD_KEY);
	document_add_region(&document->organisations[1].regions,
			    &document->organisations[1].n_regions, "north");
	free(copy);
	g_assert_cmpint(document_check(document, NULL), ==, RESULT_OK);
	return document;
}

static void process_effects(struct bed *bed)
{
	struct feed_message message;
	struct effect *effect;

	while ((effect = effects_take(&bed->effects))) {
		if (effect->kind == EFFECT_ANSWER) {
			bed->answered = effect->u.answer.id;
			bed->code = effect->u.answer.code;
			bed->run = effect->u.answer.run;
			bed->retry_ms = effect->u.answer.retry_after_ms;
		} else if (effect->kind == EFFECT_START_ATTEMPT) {
			bed->started = effect->u.start.id;
			g_strlcpy(bed->started_at, effect->u.start.address,
				  sizeof(bed->started_at));
			bed->at_steady +=
				!strcmp(effect->u.start.address, STEADY);
		} else if (effect->kind == EFFECT_EXIT) {
			bed->exited = true;
		} else if (effect->kind == EFFECT_SEND) {
			const struct bytes *body = &effect->u.send.body;

			g_assert_true(
				feed_read(&message, body->data, body->len));
			if (message.kind == FEED_POLL)
				bed->polled_us = message.u.poll.sent_us;
			bed->fetched |= message.kind == FEED_FETCH;
			if (message.kind == FEED_FETCH)
				bed->fetch_compressed = message.u.fetch.packed;
			if (message.kind == FEED_AFFINITY_ASK)
				bed->asked = message.u.affinity_ask.key;
			bed->asks += message.kind == FEED_AFFINITY_ASK;
			bed->told += (int)message.n_affinities;
			bed->usage_reports += message.kind == FEED_BEGUN;
			if (message.kind == FEED_BEGUN)
				bed->reported_requests =
					message.u.begun.counts[0].requests;
			feed_clear(&message);
		}
		effect_free(effect);
	}
}

static void deliver(struct bed *bed, struct bytes *body)
{
	struct event_link_message message = { CONTROL, LINK_FEED, *body };

	entry_link_message(bed->entry, &message, bed->now_us, &bed->effects);
	bytes_clear(body);
	process_effects(bed);
}

void bed_deliver_state(struct bed *bed, int64_t echo_us, int64_t age_us,
		       int64_t version)
{
	struct feed_state state = {
		.echo_us = echo_us,
		.age_us = age_us,
		.version = version,
		.wall_us = 1000 * SECOND + bed->now_us,
		.entry_vms = bed->entry_vms,
	};
	struct bytes body = { 0 };

	feed_write_state(&body, &state);
	deliver(bed, &body);
}

void bed_deliver_ways(struct bed *bed, int n, const char *const *callers)
{
	struct feed_ways ways = { .service = map_hash_text("desk"), .n = n };
	struct bytes body = { 0 };
	int i;

	for (i = 0; i < n; i++)
		g_strlcpy(ways.callers[i], callers[i], sizeof(ways.callers[i]));
	feed_write_ways(&body, &ways);
	deliver(bed, &body);
}

void bed_connect(struct bed *bed, const char *address, bool stands)
{
	entry_report_connection(bed->entry, address, stands, bed->now_us,
				&bed->effects);
	process_effects(bed);
}

void bed_deliver_document(struct bed *bed, int64_t version, const char *key)
{
	char *text = g_strdup_printf("%d %s", (int)version, key);
	struct feed_document told = { version, text, strlen(text), 0 };
	struct bytes body = { 0 };

	feed_write_document(&body, &told);
	g_free(text);
	deliver(bed, &body);
}

void bed_deliver_compressed(struct bed *bed, int64_t version, const char *key)
{
	char *text = g_strdup_printf("%d %s", (int)version, key);
	struct document *document = read_document(NULL, text, strlen(text));
	struct feed_document told = { .version = version };
	struct bytes encoded = { 0 };
	struct bytes packed = { 0 };
	struct bytes body = { 0 };

	document_encode(&encoded, document);
	compression_pack(&packed, encoded.data, encoded.len);
	told.text = packed.data;
	told.len = packed.len;
	told.unpacked = encoded.len;
	feed_write_document(&body, &told);
	bytes_clear(&encoded);
	bytes_clear(&packed);
	document_free(document);
	g_free(text);
	deliver(bed, &body);
}

void bed_deliver_damaged(struct bed *bed, int64_t version)
{
	struct feed_document told = { version, "noise", 5, 100 };
	struct bytes body = { 0 };

	feed_write_document(&body, &told);
	deliver(bed, &body);
}

void bed_deliver_registration(struct bed *bed, const char *address,
			      struct registration told)
{
	struct bytes body = { 0 };

	g_strlcpy(told.id, address, sizeof(told.id));
	g_strlcpy(told.address, address, sizeof(told.address));
	if (!told.service[0])
		g_strlcpy(told.service, "desk", sizeof(told.service));
	if (!told.started_ms)
		told.started_ms = BORN_MS;
	feed_write_registration(&body, &told, 0);
	deliver(bed, &body);
}

void bed_deliver_server(struct bed *bed, const char *address, int64_t sequence,
			bool cheap, bool leaving)
{
	struct registration told = { .zone = "z1",
				     .sequence = sequence,
				     .slots = 8,
				     .cheap = cheap,
				     .leaving = leaving };

	bed_deliver_registration(bed, address, told);
}

void bed_deliver_evacuation(struct bed *bed, const char *zone, bool evacuated,
			    int64_t revision)
{
	struct evacuations evacuations;
	struct bytes body = { 0 };

	evacuations_init(&evacuations);
	evacuations_set(&evacuations, zone, evacuated, revision);
	evacuations.revision = revision;
	feed_write_evacuations(&body, &evacuations);
	evacuations_clear(&evacuations);
	deliver(bed, &body);
}

void bed_deliver_marks(struct bed *bed, const char *address, bool engine)
{
	struct feed_marks marks = { 0 };
	struct bytes list = { 0 };
	struct bytes body = { 0 };

	feed_add_mark(&list, registration_short_id(address, BORN_MS));
	if (engine)
		feed_add_mark(&list, registration_short_id("s1", BORN_MS));
	marks.bytes = list.data;
	marks.len = list.len;
	feed_write_marks(&body, &marks);
	bytes_clear(&list);
	deliver(bed, &body);
}

static void add_server(struct bytes *list, const char *address)
{
	struct registration told = { .service = "desk",
				     .zone = "z1",
				     .started_ms = BORN_MS,
				     .sequence = 1,
				     .slots = 8 };
	struct bytes body = { 0 };

	g_strlcpy(told.id, address, sizeof(told.id));
	g_strlcpy(told.address, address, sizeof(told.address));
	feed_write_registration(&body, &told, 0);
	feed_bundle_add(list, &body);
	bytes_clear(&body);
}

void bed_deliver_bundle(struct bed *bed, bool whole)
{
	struct feed_bundle bundle = { 0 };
	struct bytes packed = { 0 };
	struct bytes list = { 0 };
	struct bytes body = { 0 };

	add_server(&list, STEADY);
	add_server(&list, CHEAP);
	if (!whole)
		list.len--;
	compression_pack(&packed, list.data, list.len);
	bundle.unpacked = list.len;
	bundle.bytes = packed.data;
	bundle.len = packed.len;
	feed_write_bundle(&body, &bundle);
	bytes_clear(&list);
	bytes_clear(&packed);
	deliver(bed, &body);
}

void bed_deliver_engine(struct bed *bed, int64_t sequence, bool leaving)
{
	struct registration told = { .id = "s1",
				     .address = ENGINE,
				     .service = "desk",
				     .zone = "z1",
				     .started_ms = BORN_MS,
				     .sequence = sequence,
				     .slots = 2,
				     .leaving = leaving };
	struct bytes body = { 0 };

	feed_write_registration(&body, &told, 0);
	deliver(bed, &body);
}

void bed_move_engine(struct bed *bed, const char *address)
{
	struct registration told = { .id = "s1",
				     .service = "desk",
				     .zone = "z1",
				     .started_ms = BORN_MS + 1,
				     .sequence = 1,
				     .slots = 2 };
	struct bytes body = { 0 };

	g_strlcpy(told.address, address, sizeof(told.address));
	feed_write_registration(&body, &told, 0);
	deliver(bed, &body);
}

void bed_advance(struct bed *bed, int64_t us)
{
	int64_t until_us = bed->now_us + us;

	while (bed->now_us < until_us) {
		bed->now_us += 50000;
		entry_tick(bed->entry, bed->now_us, &bed->effects);
		process_effects(bed);
	}
}

void bed_start(struct bed *bed)
{
	struct entry_options options = { .self = 77,
					 .seed = 1,
					 .vm = "entry-1",
					 .zone = "z1",
					 .max_staleness_us = 4500000,
					 .window_us = 5 * SECOND,
					 .retry_share = 0.2,
					 .retry_headroom = 54,
					 .retry_window_us = 10 * SECOND,
					 .read_document = read_document };
	struct regions regions = { 0 };
	struct event_link_up up = { CONTROL, (char *)"control-1", (char *)"z1",
				    NULL, false };

	memset(bed, 0, sizeof(*bed));
	effects_init(&bed->effects);
	bed->now_us = 100 * SECOND;
	regions_set(&regions, "z1", "north");
	regions_set(&regions, "z2", "south");
	options.regions = &regions;
	bed->entry = entry_new(&options, bed->now_us);
	entry_link_up(bed->entry, &up, bed->now_us, &bed->effects);
	process_effects(bed);
	bed_deliver_state(bed, bed->polled_us, 0, 1);
	bed_deliver_document(bed, 1, "k1");
	bed_deliver_state(bed, bed->polled_us, 0, 1);
	bed_deliver_engine(bed, 1, false);
}

void bed_end(struct bed *bed)
{
	entry_free(bed->entry);
	effects_clear(&bed->effects);
}

uint64_t bed_submit(struct bed *bed, struct entry_request request)
{
	request.id = ++bed->next_id;
	request.host = "a.example";
	request.body_hash = "x";
	entry_submit(bed->entry, &request, bed->now_us, &bed->effects);
	process_effects(bed);
	return request.id;
}

void bed_begin_event(struct bed *bed, uint64_t id)
{
	struct event_attempt_tokens tokens = {
		.id = id, .attempt = 1, .tokens = 1, .first = true
	};

	g_assert_cmpint(entry_attempt_begins(bed->entry, id, 1, bed->now_us,
					     &bed->effects),
			==, ENTRY_BEGIN_PASS);
	entry_attempt_tokens(bed->entry, &tokens, bed->now_us, &bed->effects);
	process_effects(bed);
}

void bed_deliver_unknown(struct bed *bed, bool versions_differ)
{
	struct feed_affinity_none none = { .key = bed->asked,
					   .versions_differ = versions_differ };
	struct bytes body = { 0 };

	feed_write_affinity_none(&body, &none);
	deliver(bed, &body);
}

uint64_t bed_ask(struct bed *bed, const char *path, const char *key)
{
	struct entry_request request = {
		.id = ++bed->next_id,
		.name = "r",
		.host = "a.example",
		.path = path,
		.key = key,
		.body_hash = "x",
	};

	entry_submit(bed->entry, &request, bed->now_us, &bed->effects);
	process_effects(bed);
	return request.id;
}

void bed_end_attempt(struct bed *bed, uint64_t id, enum result code,
		     int64_t status, bool sent)
{
	bed_end_nth(bed, id, 1, code, status, sent);
}

void bed_end_nth(struct bed *bed, uint64_t id, int64_t attempt,
		 enum result code, int64_t status, bool sent)
{
	struct event_attempt_ended ended = { .id = id,
					     .attempt = attempt,
					     .code = code,
					     .http_status = status,
					     .sent = sent };

	entry_attempt_ended(bed->entry, &ended, bed->now_us, &bed->effects);
	process_effects(bed);
}

void bed_check_refused(struct bed *bed, uint64_t id, enum result code)
{
	g_assert_cmpuint(bed->answered, ==, id);
	g_assert_cmpint(bed->code, ==, code);
	g_assert_cmpint(bed->run, ==, RUN_NOT);
}
