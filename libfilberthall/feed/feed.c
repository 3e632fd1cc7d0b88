#include "feed/feed.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/pack.h"

/* What is packed and claims to be longer is malformed. */
#define FEED_DOCUMENT_MOST (64 * 1024 * 1024)

/* Items in a list of one message; a larger one is malformed. */
#define FEED_LIST_MOST 16384

static void begin(msgpack_packer *packer, struct bytes *out, size_t items,
		  enum feed_kind kind)
{
	pack_init(packer, out);
	msgpack_pack_array(packer, items + 1);
	msgpack_pack_int64(packer, kind);
}

void feed_write_poll(struct bytes *out, const struct feed_poll *poll)
{
	msgpack_packer packer;

	begin(&packer, out, 2, FEED_POLL);
	msgpack_pack_int64(&packer, poll->sent_us);
	msgpack_pack_int64(&packer, poll->marks);
}

void feed_write_state(struct bytes *out, const struct feed_state *state)
{
	msgpack_packer packer;

	begin(&packer, out, 5, FEED_STATE);
	msgpack_pack_int64(&packer, state->echo_us);
	msgpack_pack_int64(&packer, state->age_us);
	msgpack_pack_int64(&packer, state->version);
	msgpack_pack_int64(&packer, state->wall_us);
	msgpack_pack_int64(&packer, state->entry_vms);
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

	begin(&packer, out, 12, FEED_REGISTRATION);
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

	begin(&packer, out, 2, FEED_CLOCK);
	msgpack_pack_int64(&packer, clock->wall_us);
	msgpack_pack_int64(&packer, clock->changes);
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

static bool read_name(const struct unpacked *items, size_t i,
		      char name[BACKEND_NAME_SIZE])
{
	char *text = unpack_text(items, i, BACKEND_NAME_SIZE - 1);

	if (!text)
		return false;
	memcpy(name, text, strlen(text) + 1);
	free(text);
	return true;
}

static bool read_flag(const struct unpacked *items, size_t i, bool *flag)
{
	int64_t value;

	if (!unpack_int(items, i, &value))
		return false;
	*flag = value != 0;
	return true;
}

/* Releases before this item know FEED_ALIVE alone. */
static bool read_poll(const struct unpacked *items, struct feed_poll *poll)
{
	if (!read_flag(items, 2, &poll->marks))
		poll->marks = false;
	return unpack_int(items, 1, &poll->sent_us);
}

static bool read_marks(const struct unpacked *items, struct feed_marks *marks)
{
	return unpack_int(items, 1, &marks->age_us) &&
	       unpack_bytes(items, 2, &marks->bytes, &marks->len) &&
	       marks->len % REGISTRATION_SHORT_ID_BYTES == 0;
}

static bool read_bundle(const struct unpacked *items,
			struct feed_bundle *bundle)
{
	int64_t unpacked;

	if (!unpack_int(items, 1, &bundle->age_us) ||
	    !unpack_int(items, 2, &unpacked) || unpacked < 0 ||
	    unpacked > FEED_DOCUMENT_MOST)
		return false;
	bundle->unpacked = (size_t)unpacked;
	return unpack_bytes(items, 3, &bundle->bytes, &bundle->len);
}

static bool read_state(const struct unpacked *items, struct feed_state *state)
{
	/* Releases before this item said nothing of the others. */
	if (!unpack_int(items, 5, &state->entry_vms))
		state->entry_vms = 0;
	return unpack_int(items, 1, &state->echo_us) &&
	       unpack_int(items, 2, &state->age_us) &&
	       unpack_int(items, 3, &state->version) &&
	       unpack_int(items, 4, &state->wall_us);
}

/* Releases before this item take and send documents as they are. */
static bool read_fetch(const struct unpacked *items, struct feed_fetch *fetch)
{
	if (!read_flag(items, 1, &fetch->packed))
		fetch->packed = false;
	return true;
}

static bool read_document(const struct unpacked *items,
			  struct feed_document *document)
{
	int64_t unpacked;

	if (!unpack_int(items, 3, &unpacked))
		unpacked = 0;
	if (unpacked < 0 || unpacked > FEED_DOCUMENT_MOST)
		return false;
	document->unpacked = (size_t)unpacked;
	return unpack_int(items, 1, &document->version) &&
	       unpack_bytes(items, 2, &document->text, &document->len);
}

/* Releases before this item redirect operators to the leader. */
static bool read_clock(const struct unpacked *items, struct feed_clock *clock)
{
	if (!read_flag(items, 2, &clock->changes))
		clock->changes = false;
	return unpack_int(items, 1, &clock->wall_us);
}

static bool read_change(const struct unpacked *items,
			struct feed_change *change)
{
	return unpack_uint(items, 1, &change->call) &&
	       unpack_int(items, 2, &change->version) &&
	       unpack_bytes(items, 3, &change->text, &change->len);
}

static bool read_changed(const struct unpacked *items,
			 struct feed_changed *changed)
{
	return unpack_uint(items, 1, &changed->call) &&
	       unpack_int(items, 2, &changed->code);
}

static bool read_member(const struct unpacked *items,
			struct feed_member *member)
{
	if (!unpack_uint(items, 1, &member->id) ||
	    !read_flag(items, 3, &member->removed))
		return false;
	member->address = unpack_text(items, 2, BACKEND_NAME_SIZE);
	return member->address != NULL;
}

static bool read_registration(const struct unpacked *items,
			      struct registration *told, int64_t *age_us)
{
	return read_name(items, 1, told->id) &&
	       read_name(items, 2, told->address) &&
	       read_name(items, 3, told->service) &&
	       read_name(items, 4, told->zone) &&
	       unpack_int(items, 5, &told->started_ms) &&
	       unpack_int(items, 6, &told->sequence) &&
	       unpack_int(items, 7, &told->slots) &&
	       unpack_int(items, 8, &told->leaves_ms) &&
	       read_flag(items, 9, &told->cheap) &&
	       read_flag(items, 10, &told->leaving) &&
	       read_flag(items, 11, &told->gone) &&
	       unpack_int(items, 12, age_us);
}

static bool read_alive(const struct unpacked *items,
		       struct feed_message *message)
{
	size_t n = (items->n - 1) / 3;
	size_t i;

	if (n > FEED_LIST_MOST || items->n != 3 * n + 1)
		return false;
	message->alive = xcalloc(n + 1, sizeof(*message->alive));
	message->n_alive = n;
	for (i = 0; i < n; i++) {
		struct feed_alive *alive = &message->alive[i];

		if (!read_name(items, 3 * i + 1, alive->id) ||
		    !unpack_int(items, 3 * i + 2, &alive->started_ms) ||
		    !unpack_int(items, 3 * i + 3, &alive->age_us))
			return false;
	}
	return true;
}

bool feed_unpack_begun(const struct unpacked *items, struct feed_begun *begun)
{
	size_t n = items->n / 2 - 1;
	size_t i;

	if (items->n < 2 || items->n % 2 || n > FEED_LIST_MOST ||
	    !unpack_int(items, 1, &begun->window))
		return false;
	begun->counts = xcalloc(n + 1, sizeof(*begun->counts));
	begun->n_counts = n;
	for (i = 0; i < n; i++) {
		struct feed_count *count = &begun->counts[i];

		if (!read_name(items, 2 * i + 2, count->organisation) ||
		    !unpack_int(items, 2 * i + 3, &count->requests))
			return false;
	}
	return true;
}

static bool read_items(struct feed_message *message,
		       const struct unpacked *items)
{
	int64_t kind;

	if (!unpack_int(items, 0, &kind))
		return false;
	message->kind = (enum feed_kind)kind;
	switch (kind) {
	case FEED_POLL:
		return read_poll(items, &message->u.poll);
	case FEED_STATE:
		return read_state(items, &message->u.state);
	case FEED_FETCH:
		return read_fetch(items, &message->u.fetch);
	case FEED_DOCUMENT:
		return read_document(items, &message->u.document);
	case FEED_MEMBER:
		return read_member(items, &message->u.member);
	case FEED_REGISTRATION:
		return read_registration(items, &message->u.registration,
					 &message->age_us);
	case FEED_ALIVE:
		return read_alive(items, message);
	case FEED_BEGUN:
		return feed_unpack_begun(items, &message->u.begun);
	case FEED_CLOCK:
		return read_clock(items, &message->u.clock);
	case FEED_CHANGE:
		return read_change(items, &message->u.change);
	case FEED_CHANGED:
		return read_changed(items, &message->u.changed);
	case FEED_MARKS:
		return read_marks(items, &message->u.marks);
	case FEED_BUNDLE:
		return read_bundle(items, &message->u.bundle);
	default:
		return false;
	}
}

bool feed_read(struct feed_message *message, const char *data, size_t len)
{
	struct unpacked items;
	bool read;

	memset(message, 0, sizeof(*message));
	if (!unpack_array(&items, data, len))
		return false;
	read = read_items(message, &items);
	unpack_clear(&items);
	if (!read)
		feed_clear(message);
	return read;
}

void feed_clear(struct feed_message *message)
{
	free(message->alive);
	message->alive = NULL;
	if (message->kind == FEED_MEMBER)
		free(message->u.member.address);
	if (message->kind == FEED_BEGUN)
		free(message->u.begun.counts);
	memset(&message->u, 0, sizeof(message->u));
}
