#include "load/poison.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

struct poison_entry {
	struct map_node node;
	struct poison_report report;
	int64_t held_until_us;
	int64_t expires_us; /* all of it is forgotten then */
};

static bool poison_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct poison_entry, node)
		       ->report.fingerprint == *(const uint64_t *)key;
}

void poison_init(struct poison *poison)
{
	*poison = (struct poison){ 0 };
	map_init(&poison->entries);
}

static void poison_drop(struct poison *poison, struct poison_entry *entry)
{
	map_remove(&poison->entries, &entry->node);
	free(entry);
}

void poison_clear(struct poison *poison)
{
	struct poison_entry *entry;
	struct poison_entry *next;

	map_foreach(entry, next, &poison->entries, node)
		free(entry);
	map_clear(&poison->entries);
}

uint64_t poison_fingerprint(const char *organisation, const char *body_hash)
{
	if (!body_hash || !*body_hash)
		return 0;
	return (map_hash_text(organisation) * 31 + map_hash_text(body_hash)) |
	       1;
}

static struct poison_entry *poison_find(struct poison *poison,
					uint64_t fingerprint, int64_t now_us)
{
	struct map_node *node = map_find(&poison->entries, fingerprint,
					 poison_match, &fingerprint);
	struct poison_entry *entry;

	if (!node)
		return NULL;
	entry = container_of(node, struct poison_entry, node);
	if (now_us < entry->expires_us)
		return entry;
	poison_drop(poison, entry);
	return NULL;
}

/* Make room: the oldest suspect goes, or the oldest if all are held. */
static void poison_evict(struct poison *poison)
{
	struct poison_entry *oldest = NULL;
	struct poison_entry *entry;
	struct poison_entry *next;

	map_foreach(entry, next, &poison->entries, node) {
		if (!oldest)
			oldest = entry;
		if (entry->report.n > 1)
			continue;
		oldest = entry;
		break;
	}
	if (oldest)
		poison_drop(poison, oldest);
}

static struct poison_entry *poison_add(struct poison *poison,
				       uint64_t fingerprint)
{
	struct poison_entry *entry;

	if (poison->entries.count >= POISON_ENTRIES)
		poison_evict(poison);
	entry = xcalloc(1, sizeof(*entry));
	entry->report.fingerprint = fingerprint;
	map_insert(&poison->entries, &entry->node, fingerprint);
	return entry;
}

static bool report_has(const struct poison_report *report, uint64_t server)
{
	int i;

	for (i = 0; i < report->n; i++)
		if (report->crashes[i].server == server)
			return true;
	return false;
}

/* Reports of crashes may arrive in another order than the crashes. */
static bool report_add(struct poison_report *report,
		       const struct poison_crash *crash)
{
	int i;

	if (report->n == POISON_CRASHES || report_has(report, crash->server))
		return false;
	i = report->n++;
	for (; i > 0 && report->crashes[i - 1].at_us > crash->at_us; i--)
		report->crashes[i] = report->crashes[i - 1];
	report->crashes[i] = *crash;
	return true;
}

static bool report_same_point(const struct poison_report *report)
{
	return (double)report->crashes[1].ran_us >=
	       (double)report->crashes[0].ran_us * POISON_SAME_POINT;
}

static void entry_decide(struct poison_entry *entry)
{
	const struct poison_report *report = &entry->report;
	int64_t at_us = report->crashes[report->n - 1].at_us;

	entry->expires_us = at_us + (report->n < 2 ? POISON_SUSPECT_US
						   : POISON_QUARANTINE_US);
	if (report->n == POISON_CRASHES)
		entry->held_until_us = entry->expires_us;
	else if (report->n == 2)
		entry->held_until_us = at_us + (report_same_point(report)
							? POISON_QUARANTINE_US
							: POISON_HOLD_US);
}

static enum poison_verdict entry_verdict(const struct poison_entry *entry,
					 int64_t now_us)
{
	return now_us < entry->held_until_us ? POISON_HELD : POISON_SUSPECT;
}

bool poison_merge(struct poison *poison, const struct poison_report *report,
		  int64_t now_us)
{
	struct poison_entry *entry;
	bool added = false;
	int i;

	if (!report->fingerprint)
		return false;
	entry = poison_find(poison, report->fingerprint, now_us);
	if (!entry)
		entry = poison_add(poison, report->fingerprint);
	for (i = 0; i < report->n; i++)
		added |= report_add(&entry->report, &report->crashes[i]);
	if (added)
		entry_decide(entry);
	return added;
}

enum poison_verdict poison_crashed(struct poison *poison, uint64_t fingerprint,
				   const struct poison_crash *crash,
				   int64_t now_us)
{
	struct poison_report report = { fingerprint, { *crash }, 1 };

	poison_merge(poison, &report, now_us);
	return poison_check(poison, fingerprint, now_us);
}

int64_t poison_held_us(struct poison *poison, uint64_t fingerprint,
		       int64_t now_us)
{
	const struct poison_entry *entry =
		fingerprint ? poison_find(poison, fingerprint, now_us) : NULL;

	if (!entry || entry_verdict(entry, now_us) != POISON_HELD)
		return 0;
	return entry->held_until_us - now_us;
}

bool poison_report(struct poison *poison, uint64_t fingerprint, int64_t now_us,
		   struct poison_report *report)
{
	const struct poison_entry *entry =
		poison_find(poison, fingerprint, now_us);

	if (entry)
		*report = entry->report;
	return entry != NULL;
}

void poison_visit(const struct poison *poison, int crashes, int64_t now_us,
		  void (*visit)(void *data, const struct poison_report *report),
		  void *data)
{
	struct poison_entry *entry;
	struct poison_entry *next;

	map_foreach(entry, next, &poison->entries, node)
		if (entry->report.n >= crashes && now_us < entry->expires_us)
			visit(data, &entry->report);
}

void poison_report_shift(struct poison_report *report, int64_t by_us)
{
	int i;

	for (i = 0; i < report->n; i++)
		report->crashes[i].at_us += by_us;
}

enum poison_verdict poison_check(struct poison *poison, uint64_t fingerprint,
				 int64_t now_us)
{
	const struct poison_entry *entry;

	if (!fingerprint)
		return POISON_CLEAR;
	entry = poison_find(poison, fingerprint, now_us);
	return entry ? entry_verdict(entry, now_us) : POISON_CLEAR;
}

static struct poison_success *success_slot(struct poison *poison,
					   uint64_t fingerprint)
{
	return &poison->successes[map_hash(&fingerprint, sizeof(fingerprint)) %
				  POISON_SUCCESSES];
}

bool poison_excused(struct poison *poison, uint64_t fingerprint,
		    uint64_t server, int64_t now_us)
{
	struct poison_success *slot = success_slot(poison, fingerprint);

	if (!fingerprint || slot->fingerprint != fingerprint ||
	    now_us - slot->at_us >= POISON_SUSPECT_US)
		return false;
	if (!slot->excused)
		slot->excused = server;
	return slot->excused == server;
}

void poison_succeeded(struct poison *poison, uint64_t fingerprint,
		      int64_t now_us)
{
	struct map_node *node;

	if (!fingerprint)
		return;
	*success_slot(poison, fingerprint) =
		(struct poison_success){ fingerprint, now_us, 0 };
	node = map_find(&poison->entries, fingerprint, poison_match,
			&fingerprint);
	if (node)
		poison_drop(poison,
			    container_of(node, struct poison_entry, node));
}
