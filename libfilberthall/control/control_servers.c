/*
 * Messages about backend servers for entry VMs and other control VMs: which
 * servers exist and which are alive.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/compression.h"
#include "control/control_state.h"

/*
 * Interval at which the live servers are announced. Servers announce themselves
 * about once a second and time out after eight seconds, but resumed streams go
 * only to servers that were heard just now.
 */
#define ALIVE_US INT64_C(250000)

/*
 * Pause between two lists of all servers, for each server in them. After a loss
 * of all processes hundreds of entry VMs come while servers go on registering;
 * a list for each would take the control VM's processor for seconds.
 */
#define FLEET_PAUSE_US INT64_C(80)

/*
 * Pause between two bundles of urgent news, for each daemon that has a link to
 * us. When a zone is evacuated hundreds of servers leave at once, and each waits
 * for its acknowledgement behind what is sent for the others.
 */
#define NEWS_PAUSE_US INT64_C(70)

static bool takes_marks(const struct feed_peer *peer)
{
	return peer->observer && peer->marks;
}

static void tell_ends_to(const struct control *control, uint64_t peer,
			 int64_t now_us, struct effects *effects)
{
	const struct registry_end *end;
	struct bytes body = { 0 };

	list_foreach(end, &control->registry.ends.list, node) {
		feed_write_end(&body, end, now_us);
		feed_send(effects, peer, &body);
		bytes_clear(&body);
	}
}

/* For daemons that read no bundles: one registration a message. */
void control_send_fleet(struct control *control, const struct feed_peer *peer,
			int64_t now_us, struct effects *effects)
{
	struct registry_entry *registered;
	struct registry_entry *next;
	struct bytes body = { 0 };

	tell_ends_to(control, peer->id, now_us, effects);
	map_foreach(registered, next, &control->registry.by_id, node) {
		feed_write_registration(&body, &registered->registration,
					now_us - registered->last_contact_us);
		feed_send(effects, peer->id, &body);
		bytes_clear(&body);
	}
	control_tell_limits_to(control, peer, now_us, effects);
}

static void write_bundle(struct bytes *out, const struct bytes *packed,
			 size_t unpacked, int64_t age_us)
{
	struct feed_bundle bundle = { age_us, unpacked, packed->data,
				      packed->len };

	feed_write_bundle(out, &bundle);
}

/* The list of all servers as a bundle. */
static struct bytes pack_fleet(const struct control *control, int64_t now_us)
{
	struct registry_entry *registered;
	struct registry_entry *next;
	struct bytes packed = { 0 };
	struct bytes list = { 0 };
	struct bytes body = { 0 };

	map_foreach(registered, next, &control->registry.by_id, node) {
		feed_write_registration(&body, &registered->registration,
					now_us - registered->last_contact_us);
		feed_bundle_add(&list, &body);
		bytes_clear(&body);
	}
	compression_pack(&packed, list.data, list.len);
	write_bundle(&body, &packed, list.len, 0);
	bytes_clear(&packed);
	bytes_clear(&list);
	return body;
}

/* One list for all entry VMs that have come since the last one. */
static void send_fleet_to_newcomers(struct control *control, int64_t now_us,
				    struct effects *effects)
{
	int64_t pause_us =
		FLEET_PAUSE_US * (int64_t)control->registry.by_id.count;
	struct feed_peer *peer;
	struct feed_peer *next;
	struct bytes body;

	if (!control->newcomers || now_us - control->fleet_us < pause_us)
		return;
	body = pack_fleet(control, now_us);
	map_foreach(peer, next, &control->peers, node) {
		if (!peer->newcomer)
			continue;
		tell_ends_to(control, peer->id, now_us, effects);
		feed_send(effects, peer->id, &body);
		control_tell_limits_to(control, peer, now_us, effects);
		peer->newcomer = false;
	}
	bytes_clear(&body);
	control->newcomers = false;
	control->fleet_us = now_us;
	control->lists++;
}

/* An entry VM's first poll says which messages it understands. */
void control_welcome_entry(struct control *control, struct feed_peer *peer,
			   int64_t now_us, struct effects *effects)
{
	if (peer->welcomed || !peer->observer)
		return;
	peer->welcomed = true;
	if (!peer->marks) {
		control_send_fleet(control, peer, now_us, effects);
		return;
	}
	peer->newcomer = true;
	control->newcomers = true;
	send_fleet_to_newcomers(control, now_us, effects);
}

void control_receive_alive(struct control *control,
			   const struct feed_message *message, int64_t now_us)
{
	size_t i;

	for (i = 0; i < message->n_alive; i++)
		registry_heartbeat(&control->registry, message->alive[i].id,
				   message->alive[i].started_ms,
				   now_us - message->alive[i].age_us);
}

/* The earliest time at which urgent registrations may be sent. */
int64_t control_news_us(const struct control *control)
{
	if (!control->urgent)
		return INT64_MAX;
	return control->news_us + NEWS_PAUSE_US * (int64_t)control->peers.count;
}

static void flush_news(struct control *control, int64_t now_us,
		       struct effects *effects)
{
	struct bytes packed = { 0 };
	struct bytes body = { 0 };
	struct feed_peer *peer;
	struct feed_peer *next;

	if (!control->news.len)
		return;
	compression_pack(&packed, control->news.data, control->news.len);
	write_bundle(&body, &packed, control->news.len, 0);
	map_foreach(peer, next, &control->peers, node)
		if (takes_marks(peer))
			feed_send(effects, peer->id, &body);
	bytes_clear(&body);
	bytes_clear(&packed);
	bytes_clear(&control->news);
	control->news_us = now_us;
	control->urgent = false;
}

/*
 * Entry VMs get registrations in bundles: thousands of servers that start or
 * leave together would be as many messages to each. The end of a server's use
 * isn't delayed until a tick. Frees the body.
 */
static void send_news(struct control *control, struct bytes *body, bool urgent,
		      int64_t now_us, struct effects *effects)
{
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, &control->peers, node)
		if (!takes_marks(peer))
			feed_send(effects, peer->id, body);
	feed_bundle_add(&control->news, body);
	bytes_clear(body);
	control->urgent |= urgent;
	if (now_us >= control_news_us(control))
		flush_news(control, now_us, effects);
}

static void forward_registration(struct control *control,
				 const struct registry_entry *registered,
				 int64_t now_us, struct effects *effects)
{
	const struct registration *registration = &registered->registration;
	struct bytes body = { 0 };

	control_log(effects, LOG_INFO, "server",
		    "event=%s server=%s address=%s service=%s zone=%s "
		    "version=%s born_ms=%lld sequence=%lld slots=%lld cheap=%d",
		    registration->gone	    ? "gone"
		    : registration->leaving ? "leaving"
					    : "ready",
		    registration->id, registration->address,
		    registration->service, registration->zone,
		    registration->version, (long long)registration->started_ms,
		    (long long)registration->sequence,
		    (long long)registration->slots, registration->cheap);
	feed_write_registration(&body, registration,
				now_us - registered->last_contact_us);
	send_news(control, &body, registration->gone || registration->leaving,
		  now_us, effects);
}

/* Tell all VMs what registry_update() changed. */
static void forward_changes(struct control *control, const char *id,
			    enum registry_outcome outcome,
			    const struct registry_entry *replaced,
			    int64_t now_us, struct effects *effects)
{
	if (replaced)
		forward_registration(control, replaced, now_us, effects);
	if (outcome == REGISTRY_CHANGED)
		forward_registration(control,
				     registry_find(&control->registry, id),
				     now_us, effects);
}

/* A control VM has told all VMs; an entry VM has told this one alone. */
void control_receive_registration(struct control *control, uint64_t id,
				  const struct feed_message *message,
				  int64_t now_us, struct effects *effects)
{
	const struct registration *told = &message->u.registration;
	const struct feed_peer *peer = feed_peer_find(&control->peers, id);
	struct registry_entry *replaced;
	enum registry_outcome outcome;

	outcome = registry_update(&control->registry, told,
				  now_us - message->age_us, &replaced);
	if (peer && peer->observer)
		forward_changes(control, told->id, outcome, replaced, now_us,
				effects);
}

enum result control_register(struct control *control,
			     const struct registration *registration,
			     int64_t now_us, struct effects *effects)
{
	struct registry_entry *registered;
	struct registry_entry *replaced;
	enum registry_outcome outcome;

	outcome = registry_update(&control->registry, registration, now_us,
				  &replaced);
	if (outcome == REGISTRY_STALE)
		return RESULT_OK;
	if (outcome == REGISTRY_FULL) {
		control_log(effects, LOG_WARN, "server",
			    "event=refused server=%s reason=too-many most=%d",
			    registration->id, REGISTRY_ENTRIES_MOST);
		return RESULT_NO_MEMORY;
	}
	registered = registry_find(&control->registry, registration->id);
	registered->last_direct_contact_us = now_us;
	forward_changes(control, registration->id, outcome, replaced, now_us,
			effects);
	return RESULT_OK;
}

/*
 * Earlier releases end their reading of a bundle at a message that they don't
 * know, so it goes by itself.
 */
static void send_end(const struct control *control,
		     const struct registry_end *end, int64_t now_us,
		     struct effects *effects)
{
	struct feed_peer *peer;
	struct feed_peer *next;
	struct bytes body = { 0 };

	feed_write_end(&body, end, now_us);
	map_foreach(peer, next, &control->peers, node)
		feed_send(effects, peer->id, &body);
	bytes_clear(&body);
}

/* The start that says so is the one that is known here. */
static bool knows_start(const struct control *control, const char *id)
{
	const struct registry_entry *known =
		registry_find(&control->registry, id);

	return known && !known->registration.gone &&
	       registry_is_confirmed(&control->registry, known);
}

void control_unregister(struct control *control, const char *id, int64_t now_us,
			struct effects *effects)
{
	struct registry_end end = {
		.wall_ms = wall_time_us(&control->wall, now_us) / 1000,
		.at_us = now_us,
	};
	bool known = knows_start(control, id);
	struct registry_entry *ended;

	snprintf(end.id, sizeof(end.id), "%s", id);
	control_log(effects, LOG_INFO, "server",
		    "event=unregistered server=%s known=%d", id, known);
	if (known) {
		ended = registry_mark_gone(&control->registry, id);
	} else {
		ended = registry_end(&control->registry, &end);
		send_end(control, &end, now_us, effects);
	}
	if (ended)
		forward_registration(control, ended, now_us, effects);
}

/* The VM that sends it has told all. */
void control_receive_end(struct control *control,
			 const struct registry_end *told, int64_t now_us,
			 struct effects *effects)
{
	struct registry_end end = *told;

	end.at_us += now_us;
	if (registry_end(&control->registry, &end))
		control_log(effects, LOG_INFO, "server",
			    "event=gone server=%s by=end", end.id);
}

/* Frees both bodies. */
static void send_alive(struct control *control, struct bytes *names,
		       struct bytes *marks, struct effects *effects)
{
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, &control->peers, node)
		feed_send(effects, peer->id, takes_marks(peer) ? marks : names);
	bytes_clear(names);
	bytes_clear(marks);
}

static void write_marks(struct bytes *out, const struct feed_alive *alive,
			size_t n)
{
	struct feed_marks marks = { 0 };
	struct bytes bytes = { 0 };
	size_t i;

	for (i = 0; i < n; i++) {
		feed_add_mark(&bytes,
			      registration_short_id(alive[i].id,
						    alive[i].started_ms));
		if (alive[i].age_us > marks.age_us)
			marks.age_us = alive[i].age_us;
	}
	marks.bytes = bytes.data;
	marks.len = bytes.len;
	feed_write_marks(out, &marks);
	bytes_clear(&bytes);
}

static void announce_alive(struct control *control, int64_t now_us,
			   struct effects *effects)
{
	struct bytes marks = { 0 };
	size_t most = control->registry.by_id.count;
	struct feed_alive *alive = xcalloc(most + 1, sizeof(*alive));
	struct registry_entry *registered;
	struct registry_entry *next;
	struct bytes body = { 0 };
	size_t n = 0;

	map_foreach(registered, next, &control->registry.by_id, node) {
		if (registered->registration.gone ||
		    registered->last_direct_contact_us < control->alive_us)
			continue;
		memcpy(alive[n].id, registered->registration.id,
		       sizeof(alive[n].id));
		alive[n].started_ms = registered->registration.started_ms;
		alive[n++].age_us = now_us - registered->last_direct_contact_us;
	}
	if (n) {
		feed_write_alive(&body, alive, n);
		write_marks(&marks, alive, n);
		send_alive(control, &body, &marks, effects);
	}
	free(alive);
}

void control_servers_tick(struct control *control, int64_t now_us,
			  struct effects *effects)
{
	flush_news(control, now_us, effects);
	send_fleet_to_newcomers(control, now_us, effects);
	if (now_us - control->alive_us < ALIVE_US)
		return;
	announce_alive(control, now_us, effects);
	registry_expire(&control->registry, now_us, NULL, NULL);
	control->alive_us = now_us;
}
