#include "feed/feed.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/pack.h"

static void begin(msgpack_packer *packer, struct bytes *out, size_t items,
		  enum feed_kind kind)
{
	pack_init(packer, out);
	msgpack_pack_array(packer, items + 1);
	msgpack_pack_int64(packer, kind);
}

void feed_write_poll(struct bytes *out, const struct feed_poll *poll)
{
	const struct feed_reach *reach = &poll->reach;
	msgpack_packer packer;
	int i;

	begin(&packer, out, 4 + (size_t)reach->n_lost, FEED_POLL);
	msgpack_pack_int64(&packer, poll->sent_us);
	msgpack_pack_int64(&packer, poll->marks);
	msgpack_pack_int64(&packer, poll->evacuations);
	pack_text(&packer, reach->callers);
	for (i = 0; i < reach->n_lost; i++)
		msgpack_pack_uint64(&packer, reach->lost[i]);
}

void feed_write_state(struct bytes *out, const struct feed_state *state)
{
	msgpack_packer packer;

	begin(&packer, out, 9, FEED_STATE);
	msgpack_pack_int64(&packer, state->echo_us);
	msgpack_pack_int64(&packer, state->age_us);
	msgpack_pack_int64(&packer, state->version);
	msgpack_pack_int64(&packer, state->wall_us);
	msgpack_pack_int64(&packer, state->entry_vms);
	msgpack_pack_int64(&packer, state->number);
	msgpack_pack_int64(&packer, state->known_us);
	msgpack_pack_int64(&packer,
			   (int64_t)(state->interval_begin * INTERVAL_UNITS));
	msgpack_pack_int64(&packer,
			   (int64_t)(state->interval_end * INTERVAL_UNITS));
}

void feed_write_fetch(struct bytes *out, const struct feed_fetch *fetch)
{
	msgpack_packer packer;

	begin(&packer, out, 1, FEED_FETCH);
	msgpack_pack_int64(&packer, fetch->packed);
}

void feed_write_document(struct bytes *out,
			 const struct feed_document *document)
{
	msgpack_packer packer;

	begin(&packer, out, 3, FEED_DOCUMENT);
	msgpack_pack_int64(&packer, document->version);
	pack_bytes(&packer, document->text, document->len);
	msgpack_pack_int64(&packer, (int64_t)document->unpacked);
}

void feed_write_member(struct bytes *out, const struct feed_member *member)
{
	msgpack_packer packer;

	begin(&packer, out, 3, FEED_MEMBER);
	msgpack_pack_uint64(&packer, member->id);
	pack_text(&packer, member->address);
	msgpack_pack_int64(&packer, member->removed);
}

void feed_write_registration(struct bytes *out, const struct registration *told,
			     int64_t age_us)
{
	msgpack_packer packer;

	begin(&packer, out, 14, FEED_REGISTRATION);
	pack_text(&packer, told->id);
	pack_text(&packer, told->address);
	pack_text(&packer, told->service);
	pack_text(&packer, told->zone);
	msgpack_pack_int64(&packer, told->started_ms);
	msgpack_pack_int64(&packer, told->sequence);
	msgpack_pack_int64(&packer, told->slots);
	msgpack_pack_int64(&packer, told->leaves_ms);
	msgpack_pack_int64(&packer, told->cheap);
	msgpack_pack_int64(&packer, told->leaving);
	msgpack_pack_int64(&packer, told->gone);
	msgpack_pack_int64(&packer, age_us);
	msgpack_pack_int64(&packer, told->cold_ms);
	pack_text(&packer, told->version);
}

void feed_write_end(struct bytes *out, const struct registry_end *end,
		    int64_t now_us)
{
	msgpack_packer packer;

	begin(&packer, out, 3, FEED_END);
	pack_text(&packer, end->id);
	msgpack_pack_int64(&packer, end->wall_ms);
	msgpack_pack_int64(&packer, now_us - end->at_us);
}

void feed_write_alive(struct bytes *out, const struct feed_alive *alive,
		      size_t n_alive)
{
	msgpack_packer packer;
	size_t i;

	begin(&packer, out, 3 * n_alive, FEED_ALIVE);
	for (i = 0; i < n_alive; i++) {
		pack_text(&packer, alive[i].id);
		msgpack_pack_int64(&packer, alive[i].started_ms);
		msgpack_pack_int64(&packer, alive[i].age_us);
	}
}

void feed_write_marks(struct bytes *out, const struct feed_marks *marks)
{
	msgpack_packer packer;

	begin(&packer, out, 2, FEED_MARKS);
	msgpack_pack_int64(&packer, marks->age_us);
	pack_bytes(&packer, marks->bytes, marks->len);
}

void feed_add_mark(struct bytes *bytes, uint64_t mark)
{
	char raw[REGISTRATION_SHORT_ID_BYTES];
	int i;

	for (i = 0; i < REGISTRATION_SHORT_ID_BYTES; i++)
		raw[i] = (char)(mark >> (8 * i));
	bytes_append(bytes, raw, sizeof(raw));
}

uint64_t feed_mark_at(const struct feed_marks *marks, size_t i)
{
	const unsigned char *raw = (const unsigned char *)marks->bytes +
				   i * REGISTRATION_SHORT_ID_BYTES;
	uint64_t mark = 0;
	int at;

	for (at = 0; at < REGISTRATION_SHORT_ID_BYTES; at++)
		mark |= (uint64_t)raw[at] << (8 * at);
	return mark;
}

size_t feed_marks_count(const struct feed_marks *marks)
{
	return marks->len / REGISTRATION_SHORT_ID_BYTES;
}

void feed_write_bundle(struct bytes *out, const struct feed_bundle *bundle)
{
	msgpack_packer packer;

	begin(&packer, out, 3, FEED_BUNDLE);
	msgpack_pack_int64(&packer, bundle->age_us);
	msgpack_pack_int64(&packer, (int64_t)bundle->unpacked);
	pack_bytes(&packer, bundle->bytes, bundle->len);
}

#define BUNDLE_LENGTH_BYTES 4

void feed_bundle_add(struct bytes *list, const struct bytes *message)
{
	char raw[BUNDLE_LENGTH_BYTES];
	int i;

	for (i = 0; i < BUNDLE_LENGTH_BYTES; i++)
		raw[i] = (char)(message->len >> (8 * i));
	bytes_append(list, raw, sizeof(raw));
	bytes_append(list, message->data, message->len);
}

bool feed_bundle_next(const char **data, size_t *len, const char **message,
		      size_t *message_len)
{
	const unsigned char *raw = (const unsigned char *)*data;
	size_t size = 0;
	int i;

	if (*len < BUNDLE_LENGTH_BYTES)
		return false;
	for (i = 0; i < BUNDLE_LENGTH_BYTES; i++)
		size |= (size_t)raw[i] << (8 * i);
	if (size > *len - BUNDLE_LENGTH_BYTES)
		return false;
	*message = *data + BUNDLE_LENGTH_BYTES;
	*message_len = size;
	*data += BUNDLE_LENGTH_BYTES + size;
	*len -= BUNDLE_LENGTH_BYTES + size;
	return true;
}

void feed_begun_clear(struct feed_begun *begun)
{
	size_t i;

	for (i = 0; i < begun->n_counts; i++)
		free(begun->counts[i].organisation);
	free(begun->counts);
	begun->counts = NULL;
	begun->n_counts = 0;
}

void feed_pack_begun(struct bytes *out, int64_t kind,
		     const struct feed_begun *begun)
{
	msgpack_packer packer;
	size_t i;

	pack_init(&packer, out);
	msgpack_pack_array(&packer, 2 + 2 * begun->n_counts);
	msgpack_pack_int64(&packer, kind);
	msgpack_pack_int64(&packer, begun->window);
	for (i = 0; i < begun->n_counts; i++) {
		pack_text(&packer, begun->counts[i].organisation);
		msgpack_pack_int64(&packer, begun->counts[i].requests);
	}
}

void feed_write_begun(struct bytes *out, const struct feed_begun *begun)
{
	feed_pack_begun(out, FEED_BEGUN, begun);
}

void feed_write_clock(struct bytes *out, const struct feed_clock *clock)
{
	msgpack_packer packer;

	begin(&packer, out, 3, FEED_CLOCK);
	msgpack_pack_int64(&packer, clock->wall_us);
	msgpack_pack_int64(&packer, clock->changes);
	msgpack_pack_int64(&packer, clock->evacuations);
}

void feed_write_change(struct bytes *out, const struct feed_change *change)
{
	msgpack_packer packer;

	begin(&packer, out, 3, FEED_CHANGE);
	msgpack_pack_uint64(&packer, change->call);
	msgpack_pack_int64(&packer, change->version);
	pack_bytes(&packer, change->text, change->len);
}

void feed_write_changed(struct bytes *out, const struct feed_changed *changed)
{
	msgpack_packer packer;

	begin(&packer, out, 2, FEED_CHANGED);
	msgpack_pack_uint64(&packer, changed->call);
	msgpack_pack_int64(&packer, changed->code);
}

void feed_write_evacuate(struct bytes *out,
			 const struct feed_evacuate *evacuate)
{
	msgpack_packer packer;

	begin(&packer, out, 4, FEED_EVACUATE);
	msgpack_pack_uint64(&packer, evacuate->call);
	pack_text(&packer, evacuate->order.zone);
	msgpack_pack_int64(&packer, evacuate->order.evacuate);
	msgpack_pack_int64(&packer, evacuate->order.revision);
}

void feed_pack_evacuations(struct bytes *out, int64_t kind,
			   const struct evacuations *evacuations)
{
	const struct evacuation *zone;
	msgpack_packer packer;

	pack_init(&packer, out);
	msgpack_pack_array(&packer, 2 + 3 * evacuations->n_zones);
	msgpack_pack_int64(&packer, kind);
	msgpack_pack_int64(&packer, evacuations->revision);
	list_foreach(zone, &evacuations->zones, node) {
		pack_text(&packer, zone->zone);
		msgpack_pack_int64(&packer, zone->evacuated);
		msgpack_pack_int64(&packer, zone->revision);
	}
}

void feed_write_evacuations(struct bytes *out,
			    const struct evacuations *evacuations)
{
	feed_pack_evacuations(out, FEED_EVACUATIONS, evacuations);
}

void feed_write_crashes(struct bytes *out, const struct poison_report *report,
			int64_t now_us)
{
	msgpack_packer packer;
	int i;

	begin(&packer, out, 1 + 3 * (size_t)report->n, FEED_CRASHES);
	msgpack_pack_uint64(&packer, report->fingerprint);
	for (i = 0; i < report->n; i++) {
		const struct poison_crash *crash = &report->crashes[i];

		msgpack_pack_uint64(&packer, crash->server);
		msgpack_pack_int64(&packer, crash->ran_us);
		msgpack_pack_int64(&packer, now_us - crash->at_us);
	}
}

void feed_write_part(struct bytes *out, const struct part_report *report)
{
	int64_t last_us = report->n ? report->crashes[report->n - 1].at_us : 0;
	msgpack_packer packer;
	int i;

	begin(&packer, out, 3 + 3 * (size_t)report->n, FEED_PART);
	msgpack_pack_uint64(&packer, report->part);
	msgpack_pack_int64(&packer, report->sound_us);
	msgpack_pack_int64(&packer, last_us);
	for (i = 0; i < report->n; i++) {
		const struct part_crash *crash = &report->crashes[i];

		msgpack_pack_uint64(&packer, crash->server);
		msgpack_pack_int64(&packer, last_us - crash->at_us);
		msgpack_pack_int64(&packer, crash->at_us - crash->started_us);
	}
}

/* Thousandths of a request a second. */
static int64_t limit_thousandths(double per_s)
{
	return per_s < 0 ? -1 : (int64_t)(per_s * 1000);
}

void feed_write_limit(struct bytes *out, const struct registry_entry *server,
		      int64_t now_us)
{
	const struct registration *told = &server->registration;
	msgpack_packer packer;

	begin(&packer, out, 4, FEED_LIMIT);
	pack_text(&packer, told->id);
	msgpack_pack_int64(&packer, told->started_ms);
	msgpack_pack_int64(&packer, limit_thousandths(server->limit.per_s));
	msgpack_pack_int64(&packer, now_us - server->limit.heard_us);
}

void feed_write_retries(struct bytes *out, const struct retry_report *report)
{
	const struct retry_window *window = &report->window;
	msgpack_packer packer;
	int i;

	begin(&packer, out, 7 + 2 * (RETRY_STEPS + 1), FEED_RETRIES);
	pack_text(&packer, report->vm);
	msgpack_pack_uint64(&packer, report->process);
	pack_text(&packer, report->pool);
	msgpack_pack_int64(&packer, report->made_us);
	msgpack_pack_int64(&packer, report->age_us);
	msgpack_pack_int64(&packer, report->step_us);
	msgpack_pack_int64(&packer, window->step);
	for (i = 0; i <= RETRY_STEPS; i++) {
		msgpack_pack_int64(&packer, window->steps[i].fresh);
		msgpack_pack_int64(&packer, window->steps[i].retries);
	}
}

void feed_write_ways(struct bytes *out, const struct feed_ways *ways)
{
	msgpack_packer packer;
	int i;

	begin(&packer, out, 1 + (size_t)ways->n, FEED_WAYS);
	msgpack_pack_uint64(&packer, ways->service);
	for (i = 0; i < ways->n; i++)
		pack_text(&packer, ways->callers[i]);
}

void feed_write_neighbours(struct bytes *out,
			   const struct feed_neighbours *neighbours)
{
	msgpack_packer packer;
	int i;

	begin(&packer, out, FEED_NEIGHBOUR_ITEMS * (size_t)neighbours->n,
	      FEED_NEIGHBOURS);
	for (i = 0; i < neighbours->n; i++) {
		msgpack_pack_uint64(&packer, neighbours->list[i].id);
		pack_text(&packer, neighbours->list[i].links);
		pack_text(&packer, neighbours->list[i].callers);
	}
}

static void pack_key(msgpack_packer *packer, const struct affinity_key *key)
{
	pack_bytes(packer, key->bytes, sizeof(key->bytes));
}

void feed_write_affinities(struct bytes *out, const struct affinity *affinities,
			   size_t n, int64_t now_us)
{
	msgpack_packer packer;
	size_t i;

	begin(&packer, out, FEED_AFFINITY_ITEMS * n, FEED_AFFINITIES);
	for (i = 0; i < n; i++) {
		const struct affinity *affinity = &affinities[i];

		pack_key(&packer, &affinity->key);
		msgpack_pack_uint64(&packer, affinity->owner);
		msgpack_pack_uint64(&packer, affinity->service);
		msgpack_pack_uint64(&packer, affinity->version);
		msgpack_pack_int64(&packer, affinity->expires_us - now_us);
	}
}

void feed_write_affinity_ask(struct bytes *out,
			     const struct feed_affinity_ask *ask)
{
	msgpack_packer packer;
	int i;

	begin(&packer, out, 2 + (size_t)ask->n_services, FEED_AFFINITY_ASK);
	pack_key(&packer, &ask->key);
	msgpack_pack_int64(&packer, ask->forward);
	for (i = 0; i < ask->n_services; i++)
		msgpack_pack_uint64(&packer, ask->services[i]);
}

void feed_write_affinity_none(struct bytes *out,
			      const struct feed_affinity_none *none)
{
	msgpack_packer packer;

	begin(&packer, out, 4, FEED_AFFINITY_NONE);
	pack_key(&packer, &none->key);
	msgpack_pack_int64(&packer, none->versions_differ);
	msgpack_pack_int64(&packer, none->voters);
	msgpack_pack_int64(&packer, none->votes);
}

void feed_write_demand(struct bytes *out, int64_t requests)
{
	msgpack_packer packer;

	begin(&packer, out, 1, FEED_DEMAND);
	msgpack_pack_int64(&packer, requests);
}

void feed_write_unserved(struct bytes *out, const char *service,
			 const struct unserved_count counts[SCHED_TIERS])
{
	msgpack_packer packer;
	size_t n = 0;
	int tier;

	for (tier = 0; tier < SCHED_TIERS; tier++)
		n += counts[tier].begun || counts[tier].nothing;
	begin(&packer, out, 1 + 3 * n, FEED_UNSERVED);
	pack_text(&packer, service);
	for (tier = 0; tier < SCHED_TIERS; tier++) {
		if (!counts[tier].begun && !counts[tier].nothing)
			continue;
		msgpack_pack_int64(&packer, tier);
		msgpack_pack_int64(&packer, counts[tier].begun);
		msgpack_pack_int64(&packer, counts[tier].nothing);
	}
}

void feed_write_short(struct bytes *out, const struct feed_short *told)
{
	msgpack_packer packer;

	begin(&packer, out, 3, FEED_SHORT);
	pack_text(&packer, told->service);
	msgpack_pack_int64(&packer, told->tier);
	msgpack_pack_int64(&packer, (int64_t)(told->part * 1000));
}
