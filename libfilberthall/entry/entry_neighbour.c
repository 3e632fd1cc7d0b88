/*
 * Other entry VMs, by which this one reaches control VMs that don't answer it:
 * they go on with streams that are resumed here, pass on where streams were
 * begun here, and tell what they hear of backend servers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/*
 * Links to neighbours are opened once the newest proof of a leader is so old.
 * Elections are shorter, as a rule.
 */
#define NEEDED_AFTER_US INT64_C(1000000)

/* They are kept so long after the last time. */
#define KEEP_US INT64_C(5000000)

/* Neighbours that are told; one of them may be cut off as well. */
#define LINKS_WANTED 2

/* A neighbour without a link by then is given up for the next one. */
#define LINK_US INT64_C(500000)

static struct neighbour *find(struct entry *entry, uint64_t id)
{
	int i;

	for (i = 0; i < entry->n_neighbours; i++)
		if (entry->neighbours[i].id == id)
			return &entry->neighbours[i];
	return NULL;
}

static struct guest *find_guest(struct entry *entry, uint64_t id)
{
	struct guest *guest;

	list_foreach(guest, &entry->guests, node)
		if (guest->id == id)
			return guest;
	return NULL;
}

static void open_link(struct entry *entry, struct neighbour *neighbour)
{
	struct effect *effect = effects_add(entry->effects, EFFECT_LINK_OPEN);

	effect->u.link_open.peer = neighbour->id;
	effect->u.link_open.address = xstrdup(neighbour->links);
	neighbour->wanted = true;
	neighbour->wanted_us = entry->now_us;
	if (neighbour->linked)
		entry_tell_recent_to(entry, neighbour->id);
}

static void close_link(struct entry *entry, struct neighbour *neighbour)
{
	struct effect *effect = effects_add(entry->effects, EFFECT_LINK_CLOSE);

	effect->u.link_close.peer = neighbour->id;
	neighbour->wanted = false;
}

/* The neighbour is used last from now on. */
static void move_last(struct entry *entry, int i)
{
	struct neighbour *neighbours = entry->neighbours;
	struct neighbour moved = neighbours[i];

	memmove(&neighbours[i], &neighbours[i + 1],
		(size_t)(entry->n_neighbours - i - 1) * sizeof(*neighbours));
	neighbours[entry->n_neighbours - 1] = moved;
}

static void remove_at(struct entry *entry, int i)
{
	if (entry->neighbours[i].wanted)
		close_link(entry, &entry->neighbours[i]);
	move_last(entry, i);
	entry->n_neighbours--;
}

/* Of a VM that has started again the earlier process is forgotten. */
static void remove_told(struct entry *entry, const struct feed_neighbour *told)
{
	int i = 0;

	while (i < entry->n_neighbours) {
		const struct neighbour *known = &entry->neighbours[i];

		if (known->id != told->id &&
		    (!strcmp(known->links, told->links) ||
		     !strcmp(known->callers, told->callers)))
			remove_at(entry, i);
		else
			i++;
	}
}

/* The oldest that isn't in use makes room. */
static void make_room(struct entry *entry)
{
	int i = entry->n_neighbours - 1;

	if (entry->n_neighbours < ENTRY_NEIGHBOURS_MOST)
		return;
	while (i > 0 && entry->neighbours[i].linked)
		i--;
	remove_at(entry, i);
}

static void add_first(struct entry *entry, const struct feed_neighbour *told)
{
	struct neighbour *first = entry->neighbours;

	make_room(entry);
	memmove(first + 1, first, (size_t)entry->n_neighbours * sizeof(*first));
	*first = (struct neighbour){
		.id = told->id,
		.linked = find_guest(entry, told->id) != NULL,
	};
	snprintf(first->links, sizeof(first->links), "%s", told->links);
	snprintf(first->callers, sizeof(first->callers), "%s", told->callers);
	entry->n_neighbours++;
}

/*
 * Control VMs that have just started know of few, so what is told adds to what
 * is known.
 */
void entry_handle_neighbours(struct entry *entry,
			     const struct feed_neighbours *told)
{
	int i;

	for (i = told->n - 1; i >= 0; i--) {
		const struct feed_neighbour *one = &told->list[i];

		remove_told(entry, one);
		if (one->id != entry->options.self && !find(entry, one->id))
			add_first(entry, one);
	}
}

static void guest_free(struct guest *guest)
{
	list_remove(&guest->node);
	free(guest);
}

void entry_free_guests(struct entry *entry)
{
	struct guest *guest;
	struct guest *next;

	list_foreach_safe(guest, next, &entry->guests, node)
		guest_free(guest);
}

static void add_guest(struct entry *entry, uint64_t id)
{
	struct guest *guest;

	if (find_guest(entry, id))
		return;
	guest = xcalloc(1, sizeof(*guest));
	guest->id = id;
	list_append(&entry->guests, &guest->node);
}

void entry_neighbour_up(struct entry *entry, uint64_t id)
{
	struct neighbour *neighbour = find(entry, id);

	add_guest(entry, id);
	if (!neighbour)
		return;
	neighbour->linked = true;
	entry_log(entry, LOG_INFO, "contact",
		  "event=neighbour-up address=%s wanted=%d", neighbour->links,
		  neighbour->wanted);
	if (neighbour->wanted)
		entry_tell_recent_to(entry, id);
}

bool entry_neighbour_down(struct entry *entry, uint64_t id)
{
	struct neighbour *neighbour = find(entry, id);
	struct guest *guest = find_guest(entry, id);

	if (!guest)
		return false;
	guest_free(guest);
	if (!neighbour)
		return true;
	neighbour->linked = false;
	neighbour->wanted_us = entry->now_us;
	entry_log(entry, LOG_INFO, "contact", "event=neighbour-down address=%s",
		  neighbour->links);
	return true;
}

void entry_pass_news(struct entry *entry, const struct bytes *body)
{
	struct guest *guest;

	list_foreach(guest, &entry->guests, node)
		feed_send(entry->effects, guest->id, body);
}

void entry_tell_neighbours(struct entry *entry, const struct bytes *body)
{
	int i;

	for (i = 0; i < entry->n_neighbours; i++)
		if (entry->neighbours[i].wanted && entry->neighbours[i].linked)
			feed_send(entry->effects, entry->neighbours[i].id,
				  body);
}

static void close_all(struct entry *entry)
{
	int i;

	for (i = 0; i < entry->n_neighbours; i++)
		if (entry->neighbours[i].wanted)
			close_link(entry, &entry->neighbours[i]);
}

static int give_up_silent(struct entry *entry)
{
	int wanted = 0;
	int i = 0;
	int n;

	for (n = 0; n < entry->n_neighbours; n++) {
		struct neighbour *neighbour = &entry->neighbours[i];

		if (neighbour->wanted && !neighbour->linked &&
		    entry->now_us - neighbour->wanted_us >= LINK_US) {
			close_link(entry, neighbour);
			move_last(entry, i);
			continue;
		}
		wanted += neighbour->wanted;
		i++;
	}
	return wanted;
}

static void open_some(struct entry *entry)
{
	int wanted = give_up_silent(entry);
	int i;

	for (i = 0; i < entry->n_neighbours && wanted < LINKS_WANTED; i++) {
		if (entry->neighbours[i].wanted)
			continue;
		open_link(entry, &entry->neighbours[i]);
		wanted++;
	}
}

void entry_neighbours_tick(struct entry *entry)
{
	if (entry->fresh_as_of_us > INT64_MIN / 4 &&
	    entry->now_us - entry->fresh_as_of_us >= NEEDED_AFTER_US) {
		if (!entry->neighbours_since_us)
			entry->neighbours_since_us = entry->now_us;
		entry->neighbours_until_us = entry->now_us + KEEP_US;
		open_some(entry);
		return;
	}
	entry->neighbours_since_us = 0;
	if (entry->now_us >= entry->neighbours_until_us)
		close_all(entry);
}

static bool has_link(const struct entry *entry)
{
	int i;

	for (i = 0; i < entry->n_neighbours; i++)
		if (entry->neighbours[i].linked)
			return true;
	return false;
}

bool entry_is_isolated(const struct entry *entry, int64_t now_us)
{
	return entry->neighbours_since_us && entry->n_neighbours &&
	       !entry_is_in_contact(entry) &&
	       now_us - entry->neighbours_since_us >= LINK_US &&
	       !has_link(entry);
}

static bool was_tried(const struct neighbour *neighbour,
		      const struct tried *tried)
{
	int i;

	for (i = 0; i < tried->n; i++)
		if (tried->ids[i] == neighbour->id)
			return true;
	return false;
}

/* Those with a link are known to be reached. */
static int next_neighbour(const struct entry *entry, const struct tried *tried)
{
	int next = -1;
	int i;

	if (entry_is_isolated(entry, entry->now_us) ||
	    tried->n == ENTRY_NEIGHBOURS_MOST)
		return -1;
	for (i = 0; i < entry->n_neighbours; i++) {
		if (was_tried(&entry->neighbours[i], tried))
			continue;
		if (entry->neighbours[i].linked)
			return i;
		if (next < 0)
			next = i;
	}
	return next;
}

bool entry_has_neighbour(const struct entry *entry)
{
	const struct tried none = { .n = 0 };

	return next_neighbour(entry, &none) >= 0;
}

const char *entry_next_neighbour(struct entry *entry, struct tried *tried)
{
	int i = next_neighbour(entry, tried);

	if (i < 0)
		return NULL;
	tried->ids[tried->n++] = entry->neighbours[i].id;
	move_last(entry, i);
	return entry->neighbours[entry->n_neighbours - 1].callers;
}

/* What another VM can't tell control VMs, this one does. */
static void pass_on_affinities(struct entry *entry,
			       const struct feed_message *message)
{
	size_t i;

	for (i = 0; i < message->n_affinities; i++) {
		struct affinity affinity = message->affinities[i];

		affinity.expires_us += entry->now_us;
		entry_note_affinity(entry, &affinity);
	}
	entry_tell_affinities(entry);
	entry_handle_affinities(entry, message);
}

void entry_neighbour_message(struct entry *entry, uint64_t peer,
			     const struct bytes *body)
{
	struct feed_message message;

	if (!feed_read(&message, body->data, body->len))
		return;
	switch (message.kind) {
	case FEED_AFFINITIES:
		pass_on_affinities(entry, &message);
		break;
	case FEED_REGISTRATION:
		entry_handle_registration(entry, peer, &message);
		break;
	case FEED_END:
		entry_handle_end(entry, &message.u.end);
		break;
	case FEED_ALIVE:
		entry_handle_alive(entry, &message);
		break;
	case FEED_MARKS:
		entry_handle_marks(entry, &message.u.marks);
		break;
	default:
		break;
	}
	feed_clear(&message);
}
