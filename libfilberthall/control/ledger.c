#include "control/ledger.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/compression.h"
#include "core/pack.h"

enum ledger_entry {
	ENTRY_DOCUMENT = 1,
	ENTRY_WINDOW,
	ENTRY_PACKED_DOCUMENT,
	ENTRY_COUNTED,
	ENTRY_EVACUATION,
	ENTRY_EVACUATIONS, /* in snapshots: all zones */
	ENTRY_VERSION
};

/*
 * Longer documents are written compressed, as the log takes no entry of more
 * than a megabyte. Shorter ones stay as earlier releases read them.
 */
#define UNCOMPRESSED_MAX (1000 * 1024)

/* Entries with longer documents are malformed. */
#define DOCUMENT_MAX (64 * 1024 * 1024)

void ledger_init(struct ledger *ledger)
{
	memset(ledger, 0, sizeof(*ledger));
	list_init(&ledger->windows);
	list_init(&ledger->waiting);
	list_init(&ledger->versions);
	evacuations_init(&ledger->evacuations);
}

static void window_free(struct ledger_window *window)
{
	list_remove(&window->node);
	feed_begun_clear(&window->total);
	free(window);
}

static void version_free(struct ledger *ledger, struct ledger_version *version)
{
	list_remove(&version->node);
	free(version);
	ledger->n_versions--;
}

void ledger_clear(struct ledger *ledger)
{
	struct ledger_version *version;
	struct ledger_version *next_version;
	struct ledger_window *window;
	struct ledger_window *next;

	list_foreach_safe(version, next_version, &ledger->versions, node)
		version_free(ledger, version);

	list_foreach_safe(window, next, &ledger->windows, node)
		window_free(window);
	list_foreach_safe(window, next, &ledger->waiting, node)
		window_free(window);
	bytes_clear(&ledger->document);
	evacuations_clear(&ledger->evacuations);
	ledger_init(ledger);
}

static void write_packed(struct bytes *out, int64_t version,
			 const struct bytes *text)
{
	struct bytes packed = { 0 };
	msgpack_packer packer;

	compression_pack(&packed, text->data, text->len);
	pack_init(&packer, out);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_int64(&packer, ENTRY_PACKED_DOCUMENT);
	msgpack_pack_int64(&packer, version);
	pack_bytes(&packer, packed.data, packed.len);
	msgpack_pack_int64(&packer, (int64_t)text->len);
	bytes_clear(&packed);
}

void ledger_write_document(struct bytes *out, int64_t version,
			   const struct bytes *text)
{
	msgpack_packer packer;

	if (text->len > UNCOMPRESSED_MAX) {
		write_packed(out, version, text);
		return;
	}
	pack_init(&packer, out);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int64(&packer, ENTRY_DOCUMENT);
	msgpack_pack_int64(&packer, version);
	pack_bytes(&packer, text->data, text->len);
}

void ledger_write_window(struct bytes *out, const struct feed_begun *total)
{
	feed_pack_begun(out, ENTRY_WINDOW, total);
}

void ledger_write_counted(struct bytes *out, const struct feed_begun *total)
{
	feed_pack_begun(out, ENTRY_COUNTED, total);
}

void ledger_write_evacuation(struct bytes *out,
			     const struct evacuation_order *order)
{
	msgpack_packer packer;

	pack_init(&packer, out);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_int64(&packer, ENTRY_EVACUATION);
	pack_text(&packer, order->zone);
	msgpack_pack_int64(&packer, order->evacuate);
	msgpack_pack_int64(&packer, order->revision);
}

void ledger_write_version(struct bytes *out, uint64_t service, uint64_t version,
			  bool serves)
{
	msgpack_packer packer;

	pack_init(&packer, out);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_int64(&packer, ENTRY_VERSION);
	msgpack_pack_uint64(&packer, service);
	msgpack_pack_uint64(&packer, version);
	msgpack_pack_int64(&packer, serves);
}

static void write_evacuations(struct bytes *out,
			      const struct evacuations *evacuations)
{
	feed_pack_evacuations(out, ENTRY_EVACUATIONS, evacuations);
}

static struct ledger_window *window_find(const struct list *windows,
					 int64_t number)
{
	struct ledger_window *window;

	list_foreach(window, windows, node)
		if (window->window == number)
			return window;
	return NULL;
}

const struct feed_begun *ledger_window(const struct ledger *ledger,
				       int64_t number)
{
	struct ledger_window *window = window_find(&ledger->windows, number);

	return window ? &window->total : NULL;
}

const struct feed_begun *ledger_counted(const struct ledger *ledger,
					int64_t number)
{
	struct ledger_window *window = window_find(&ledger->waiting, number);

	return window ? &window->total : NULL;
}

int64_t ledger_next_counted(const struct ledger *ledger, int64_t after)
{
	struct ledger_window *window;
	int64_t found = 0;

	list_foreach(window, &ledger->waiting, node)
		if (window->window > after &&
		    (!found || window->window < found))
			found = window->window;
	return found;
}

static enum ledger_change take_document(struct ledger *ledger,
					const struct unpacked *items)
{
	int64_t version;
	const char *text;
	size_t len;

	if (!unpack_int(items, 1, &version) ||
	    !unpack_bytes(items, 2, &text, &len) || version <= ledger->version)
		return LEDGER_NOTHING;
	ledger->version = version;
	bytes_clear(&ledger->document);
	bytes_append(&ledger->document, text, len);
	return LEDGER_DOCUMENT;
}

static enum ledger_change take_packed(struct ledger *ledger,
				      const struct unpacked *items)
{
	struct bytes text = { 0 };
	int64_t unpacked;
	int64_t version;
	const char *data;
	size_t len;

	if (!unpack_int(items, 1, &version) ||
	    !unpack_bytes(items, 2, &data, &len) ||
	    !unpack_int(items, 3, &unpacked) || unpacked < 0 ||
	    unpacked > DOCUMENT_MAX || version <= ledger->version ||
	    !compression_unpack(&text, data, len, (size_t)unpacked))
		return LEDGER_NOTHING;
	ledger->version = version;
	bytes_clear(&ledger->document);
	ledger->document = text;
	return LEDGER_DOCUMENT;
}

static enum ledger_change take_evacuation(struct ledger *ledger,
					  const struct unpacked *items)
{
	struct evacuation_order order;
	int64_t evacuate;
	char *zone = unpack_text(items, 1, sizeof(order.zone) - 1);

	if (!zone || !unpack_int(items, 2, &evacuate) ||
	    !unpack_int(items, 3, &order.revision)) {
		free(zone);
		return LEDGER_NOTHING;
	}
	memcpy(order.zone, zone, strlen(zone) + 1);
	free(zone);
	order.evacuate = evacuate != 0;
	switch (evacuations_apply(&ledger->evacuations, &order)) {
	case EVACUATION_CHANGED:
		return LEDGER_EVACUATION;
	case EVACUATION_OVERTAKEN:
	case EVACUATION_NO_ROOM:
		return LEDGER_REFUSED;
	case EVACUATION_UNCHANGED:
		break;
	}
	return LEDGER_NOTHING;
}

static enum ledger_change take_evacuations(struct ledger *ledger,
					   const struct unpacked *items)
{
	evacuations_clear(&ledger->evacuations);
	if (!feed_unpack_evacuations(items, &ledger->evacuations))
		return LEDGER_NOTHING;
	return LEDGER_EVACUATION;
}

static struct ledger_version *find_version(const struct ledger *ledger,
					   uint64_t service, uint64_t version)
{
	struct ledger_version *known;

	list_foreach(known, &ledger->versions, node)
		if (known->service == service && known->version == version)
			return known;
	return NULL;
}

bool ledger_has_version(const struct ledger *ledger, uint64_t service,
			uint64_t version)
{
	return find_version(ledger, service, version) != NULL;
}

static enum ledger_change take_version(struct ledger *ledger,
				       const struct unpacked *items)
{
	struct ledger_version *oldest;
	struct ledger_version *known;
	uint64_t service;
	uint64_t version;
	int64_t serves;

	if (!unpack_uint(items, 1, &service) ||
	    !unpack_uint(items, 2, &version) || !unpack_int(items, 3, &serves))
		return LEDGER_NOTHING;
	known = find_version(ledger, service, version);
	if ((known != NULL) == (serves != 0))
		return LEDGER_NOTHING;
	if (known) {
		version_free(ledger, known);
		return LEDGER_VERSION;
	}
	oldest = list_first(&ledger->versions, struct ledger_version, node);
	if (ledger->n_versions == LEDGER_VERSIONS_MOST && oldest)
		version_free(ledger, oldest);
	known = xcalloc(1, sizeof(*known));
	known->service = service;
	known->version = version;
	list_append(&ledger->versions, &known->node);
	ledger->n_versions++;
	return LEDGER_VERSION;
}

/* Takes `total` over. */
static void window_add(struct list *windows, struct feed_begun *total)
{
	struct ledger_window *window = xcalloc(1, sizeof(*window));

	window->window = total->window;
	window->total = *total;
	list_append(windows, &window->node);
}

/* The first counts hold until there is a figure; takes `total` over. */
static enum ledger_change take_counted(struct ledger *ledger,
				       struct feed_begun *total)
{
	struct ledger_window *window;
	struct ledger_window *next;

	if (ledger_window(ledger, total->window) ||
	    ledger_counted(ledger, total->window)) {
		feed_begun_clear(total);
		return LEDGER_NOTHING;
	}
	list_foreach_safe(window, next, &ledger->waiting, node)
		if (window->window <= total->window - LEDGER_WINDOWS)
			window_free(window);
	window_add(&ledger->waiting, total);
	return LEDGER_COUNTED;
}

/* The first figure holds; takes `total` over. */
static enum ledger_change take_window(struct ledger *ledger,
				      struct feed_begun *total)
{
	struct ledger_window *oldest;
	struct ledger_window *counted;

	if (ledger_window(ledger, total->window)) {
		feed_begun_clear(total);
		return LEDGER_NOTHING;
	}
	counted = window_find(&ledger->waiting, total->window);
	if (counted)
		window_free(counted);
	window_add(&ledger->windows, total);
	ledger->applied_window = total->window;
	if (total->window > ledger->last_window)
		ledger->last_window = total->window;
	oldest = list_first(&ledger->windows, struct ledger_window, node);
	if (++ledger->n_windows > LEDGER_WINDOWS && oldest) {
		ledger->n_windows--;
		window_free(oldest);
	}
	return LEDGER_WINDOW;
}

static enum ledger_change apply_items(struct ledger *ledger,
				      const struct unpacked *items)
{
	struct feed_begun total = { 0 };
	int64_t kind;

	if (!unpack_int(items, 0, &kind))
		return LEDGER_NOTHING;
	if (kind == ENTRY_DOCUMENT)
		return take_document(ledger, items);
	if (kind == ENTRY_PACKED_DOCUMENT)
		return take_packed(ledger, items);
	if (kind == ENTRY_EVACUATION)
		return take_evacuation(ledger, items);
	if (kind == ENTRY_EVACUATIONS)
		return take_evacuations(ledger, items);
	if (kind == ENTRY_VERSION)
		return take_version(ledger, items);
	if (kind != ENTRY_WINDOW && kind != ENTRY_COUNTED)
		return LEDGER_NOTHING;
	if (feed_unpack_begun(items, &total))
		return kind == ENTRY_WINDOW ? take_window(ledger, &total)
					    : take_counted(ledger, &total);
	feed_begun_clear(&total);
	return LEDGER_NOTHING;
}

enum ledger_change ledger_apply(struct ledger *ledger, const char *data,
				size_t len)
{
	struct unpacked items;
	enum ledger_change change;

	if (!unpack_array(&items, data, len))
		return LEDGER_NOTHING;
	change = apply_items(ledger, &items);
	unpack_clear(&items);
	return change;
}

/* A row of entries, each behind its length as four bytes. */
static void save_entry(struct bytes *out, struct bytes *entry)
{
	unsigned char length[4];
	int i;

	for (i = 0; i < 4; i++)
		length[i] = (unsigned char)(entry->len >> (8 * i));
	bytes_append(out, length, sizeof(length));
	bytes_append(out, entry->data, entry->len);
	bytes_clear(entry);
}

void ledger_save(const struct ledger *ledger, struct bytes *out)
{
	const struct ledger_version *version;
	struct ledger_window *window;
	struct bytes entry = { 0 };

	if (ledger->version) {
		ledger_write_document(&entry, ledger->version,
				      &ledger->document);
		save_entry(out, &entry);
	}
	if (ledger->evacuations.revision) {
		write_evacuations(&entry, &ledger->evacuations);
		save_entry(out, &entry);
	}
	list_foreach(version, &ledger->versions, node) {
		ledger_write_version(&entry, version->service, version->version,
				     true);
		save_entry(out, &entry);
	}
	list_foreach(window, &ledger->windows, node) {
		ledger_write_window(&entry, &window->total);
		save_entry(out, &entry);
	}
	list_foreach(window, &ledger->waiting, node) {
		ledger_write_counted(&entry, &window->total);
		save_entry(out, &entry);
	}
}

bool ledger_load(struct ledger *ledger, const char *data, size_t len)
{
	const unsigned char *at = (const unsigned char *)data;
	size_t entry;

	ledger_clear(ledger);
	while (len) {
		if (len < 4)
			return false;
		entry = at[0] | (size_t)at[1] << 8 | (size_t)at[2] << 16 |
			(size_t)at[3] << 24;
		if (entry > len - 4)
			return false;
		ledger_apply(ledger, (const char *)at + 4, entry);
		at += 4 + entry;
		len -= 4 + entry;
	}
	return true;
}
