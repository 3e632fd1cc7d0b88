#include "load/part.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Interval of decisions while a part is suspect. */
#define DECIDE_US INT64_C(100000)

/* Half-life of the counts of answers. */
#define ANSWERS_HALF_US 10000000.0

/* Answers that are taken to have gone on before the first one. */
#define ANSWERS_PRIOR 10.0

struct part_entry {
	struct map_node node;
	struct part_report report;
	int64_t held_until_us;
	bool held;	  /* by the last decision */
	int held_n;	  /* crashes as the hold began */
	int64_t since_us; /* when this VM first knew of a crash */
	int64_t tried_us;
	int64_t sound_told_us;
	bool news;	  /* other VMs may know less */
	bool crash_news;  /* of its crashes: told at once */
	bool was_suspect; /* when they were told last */
};

/* A part on which a decision is due. */
struct candidate {
	struct part_entry *entry;
	int n; /* crashes, explained ones too */
};

static bool part_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct part_entry, node)->report.part ==
	       *(const uint64_t *)key;
}

void part_watch_init(struct part_watch *watch)
{
	*watch = (struct part_watch){ 0 };
	map_init(&watch->entries);
}

static void entry_drop(struct part_watch *watch, struct part_entry *entry)
{
	watch->n_news -= entry->news;
	map_remove(&watch->entries, &entry->node);
	free(entry);
}

void part_watch_clear(struct part_watch *watch)
{
	struct part_entry *entry;
	struct part_entry *next;

	map_foreach(entry, next, &watch->entries, node)
		free(entry);
	map_clear(&watch->entries);
}

uint64_t part_name(const char *service, uint64_t id)
{
	uint64_t both[] = { map_hash_text(service), id };
	uint64_t name = map_hash(both, sizeof(both));

	return name ? name : 1;
}

/* The last crash; without one, the last sound answer. */
static int64_t last_crash_us(const struct part_report *report)
{
	return report->n ? report->crashes[report->n - 1].at_us
			 : report->sound_us;
}

static struct part_entry *entry_find(const struct part_watch *watch,
				     uint64_t part)
{
	struct map_node *node =
		map_find(&watch->entries, part, part_match, &part);

	return node ? container_of(node, struct part_entry, node) : NULL;
}

/* Make room: the part with the fewest crashes goes, the oldest of these. */
static void evict(struct part_watch *watch)
{
	struct part_entry *least = NULL;
	struct part_entry *entry;
	struct part_entry *next;

	map_foreach(entry, next, &watch->entries, node)
		if (!least || entry->report.n < least->report.n ||
		    (entry->report.n == least->report.n &&
		     last_crash_us(&entry->report) <
			     last_crash_us(&least->report)))
			least = entry;
	if (least)
		entry_drop(watch, least);
}

static struct part_sound *sound_slot(struct part_watch *watch, uint64_t part)
{
	return &watch->sound[map_hash(&part, sizeof(part)) %
			     PART_SOUND_ENTRIES];
}

static int64_t sound_us(struct part_watch *watch, uint64_t part)
{
	const struct part_sound *slot = sound_slot(watch, part);

	return slot->part == part ? slot->at_us : PART_NEVER;
}

static struct part_entry *entry_add(struct part_watch *watch, uint64_t part,
				    int64_t now_us)
{
	struct part_entry *entry;

	if (watch->entries.count >= PART_ENTRIES)
		evict(watch);
	entry = xcalloc(1, sizeof(*entry));
	entry->report.part = part;
	entry->report.sound_us = sound_us(watch, part);
	entry->sound_told_us = INT64_MIN / 2;
	entry->since_us = now_us;
	entry->tried_us = INT64_MIN / 2;
	map_insert(&watch->entries, &entry->node, part);
	return entry;
}

static void entry_note(struct part_watch *watch, struct part_entry *entry,
		       bool crash)
{
	watch->n_news += !entry->news;
	entry->news = true;
	entry->crash_news |= crash;
}

/* Crashes before the last sound answer don't count. */
static bool report_prove(struct part_report *report, int64_t at_us)
{
	int n = 0;
	int i;

	if (at_us <= report->sound_us)
		return false;
	report->sound_us = at_us;
	for (i = 0; i < report->n; i++)
		if (report->crashes[i].at_us > at_us)
			report->crashes[n++] = report->crashes[i];
	report->n = n;
	return true;
}

static struct part_crash *report_crash(struct part_report *report,
				       uint64_t server)
{
	int i;

	for (i = 0; i < report->n; i++)
		if (report->crashes[i].server == server)
			return &report->crashes[i];
	return NULL;
}

/* The clocks of two VMs that tell of the same crash differ a little. */
static bool crash_join(struct part_crash *known, const struct part_crash *crash)
{
	int64_t started_us = crash->started_us < known->at_us
				     ? crash->started_us
				     : known->at_us;

	if (started_us <= known->started_us)
		return false;
	known->started_us = started_us;
	return true;
}

/* Reports of crashes may arrive in another order than the crashes. */
static bool report_add(struct part_report *report,
		       const struct part_crash *crash)
{
	struct part_crash *known = report_crash(report, crash->server);
	int i;

	if (crash->at_us <= report->sound_us)
		return false;
	if (known)
		return crash_join(known, crash);
	if (report->n == PART_CRASHES) {
		if (crash->at_us <= report->crashes[0].at_us)
			return false;
		memmove(&report->crashes[0], &report->crashes[1],
			sizeof(report->crashes[0]) * (PART_CRASHES - 1));
		report->n--;
	}
	i = report->n++;
	for (; i > 0 && report->crashes[i - 1].at_us > crash->at_us; i--)
		report->crashes[i] = report->crashes[i - 1];
	report->crashes[i] = *crash;
	return true;
}

/* Whoever tells that counts crashes that this VM has seen refuted. */
static bool knows_better(const struct part_entry *entry,
			 const struct part_report *told)
{
	return told->n && told->sound_us < entry->report.sound_us &&
	       (told->sound_us == PART_NEVER ||
		told->crashes[0].at_us <= entry->report.sound_us);
}

static struct part_start *start_slot(struct part_watch *watch, uint64_t server)
{
	struct part_start *slot =
		&watch->starts[map_hash(&server, sizeof(server)) % PART_STARTS];

	if (slot->server != server)
		*slot = (struct part_start){ server, INT64_MIN / 2, false };
	return slot;
}

static bool is_refuted(const struct part_start *start,
		       const struct part_crash *crash)
{
	return start->server == crash->server &&
	       start->lives_us >= crash->at_us + PART_LIVES_US;
}

/* False if the server is known to live. */
static bool count_crash(struct part_watch *watch, struct part_entry *entry,
			const struct part_crash *crash)
{
	struct part_start *start = start_slot(watch, crash->server);

	if (is_refuted(start, crash) || !report_add(&entry->report, crash))
		return false;
	start->crashed = true;
	return true;
}

/* Whether a crash of the server still counts. */
static bool refute(struct part_entry *entry, const struct part_start *start)
{
	struct part_report *report = &entry->report;
	bool left = false;
	int n = 0;
	int i;

	for (i = 0; i < report->n; i++) {
		if (is_refuted(start, &report->crashes[i]))
			continue;
		left |= report->crashes[i].server == start->server;
		report->crashes[n++] = report->crashes[i];
	}
	report->n = n;
	return left;
}

void part_server_lives(struct part_watch *watch, uint64_t server, int64_t at_us,
		       int64_t now_us)
{
	struct part_start *start = start_slot(watch, server);
	struct part_entry *entry;
	struct part_entry *next;

	if (at_us > start->lives_us)
		start->lives_us = at_us;
	if (!start->crashed)
		return;
	start->crashed = false;
	map_foreach(entry, next, &watch->entries, node)
		start->crashed |= refute(entry, start);
	watch->decide_us = now_us;
}

static int count_later(const struct part_crash *crashes, int n);

bool part_merge(struct part_watch *watch, const struct part_report *report,
		bool tell, int64_t now_us)
{
	struct part_entry *entry = entry_find(watch, report->part);
	bool changed = false;
	int later;
	int n;
	int i;

	if (!report->part || (!entry && !report->n))
		return false;
	if (!entry)
		entry = entry_add(watch, report->part, now_us);
	n = entry->report.n;
	if (report->sound_us != PART_NEVER)
		changed |= report_prove(&entry->report, report->sound_us);
	if (tell && entry->report.n < n)
		entry_note(watch, entry, false);
	n = entry->report.n;
	later = count_later(entry->report.crashes, n);
	for (i = 0; i < report->n; i++)
		changed |= count_crash(watch, entry, &report->crashes[i]);
	if (tell &&
	    (entry->report.n > n ||
	     count_later(entry->report.crashes, entry->report.n) > later))
		entry_note(watch, entry, true);
	if (knows_better(entry, report))
		entry_note(watch, entry, false);
	if (changed)
		watch->decide_us = now_us;
	return changed;
}

void part_is_sound(struct part_watch *watch, uint64_t part, int64_t at_us,
		   int64_t now_us)
{
	struct part_entry *entry = entry_find(watch, part);
	bool counted;

	*sound_slot(watch, part) = (struct part_sound){ part, at_us };
	if (!entry)
		return;
	counted = entry->report.n > 0;
	if (!report_prove(&entry->report, at_us) || !counted)
		return;
	watch->decide_us = now_us;
	entry_note(watch, entry, false);
}

/* Crashes are told at once, sound answers now and then. */
static bool may_tell(const struct part_entry *entry, int64_t now_us)
{
	return entry->crash_news ||
	       now_us - entry->sound_told_us >= PART_TELL_US;
}

void part_take_news(struct part_watch *watch, int64_t now_us,
		    void (*visit)(void *data, const struct part_report *report,
				  bool suspect),
		    void *data)
{
	struct part_entry *entry;
	struct part_entry *next;
	bool suspect;
	bool crash;

	if (!watch->n_news)
		return;
	map_foreach(entry, next, &watch->entries, node) {
		if (!entry->news || !may_tell(entry, now_us))
			continue;
		crash = entry->crash_news;
		if (!crash)
			entry->sound_told_us = now_us;
		entry->news = false;
		entry->crash_news = false;
		watch->n_news--;
		suspect = part_is_suspect(&entry->report);
		/* Whoever was told that it is suspect hears that it isn't. */
		visit(data, &entry->report,
		      entry->was_suspect ? crash || !suspect
					 : crash && suspect);
		entry->was_suspect = suspect;
	}
}

void part_count_answer(struct part_watch *watch, bool broken, int64_t now_us)
{
	double left =
		exp2(-(double)(now_us - watch->counted_us) / ANSWERS_HALF_US);

	watch->broken = watch->broken * left + broken;
	watch->went_on = watch->went_on * left + !broken;
	watch->counted_us = now_us;
}

/* Crashes in a row that a new part has by chance less often than allowed. */
static int new_crashes(const struct part_watch *watch)
{
	double part = watch->broken /
		      (watch->broken + watch->went_on + ANSWERS_PRIOR);
	double needed = part > 0 ? ceil(log(PART_CHANCE) / log(part)) : 0;

	if (needed > PART_NEW_MOST)
		return PART_NEW_MOST;
	return needed > PART_NEW_CRASHES ? (int)needed : PART_NEW_CRASHES;
}

static bool was_proven(const struct part_report *report)
{
	return report->sound_us != PART_NEVER &&
	       last_crash_us(report) - report->sound_us < PART_QUARANTINE_US;
}

/* Of the `n` crashes those under requests sent after the first one. */
static int count_later(const struct part_crash *crashes, int n)
{
	int later = 0;
	int i;

	for (i = 1; i < n; i++)
		later += crashes[i].started_us > crashes[0].at_us;
	return later;
}

bool part_is_suspect(const struct part_report *report)
{
	return report->n >= PART_TOLD_CRASHES &&
	       count_later(report->crashes, report->n) > 0;
}

/* Until when that many crashes hold the part; 0 if they don't. */
static int64_t held_until_us(const struct part_watch *watch,
			     const struct part_report *report,
			     const struct part_crash *crashes, int n,
			     int64_t now_us)
{
	int64_t hold_us = PART_QUARANTINE_US;
	int i;

	if (n < PART_NEW_CRASHES ||
	    count_later(crashes, n) < PART_LATER_CRASHES ||
	    now_us < crashes[PART_NEW_CRASHES - 1].at_us + PART_NEW_DOUBT_US)
		return 0;
	if (was_proven(report)) {
		if (n < PART_PROVEN_CRASHES ||
		    now_us < crashes[PART_PROVEN_CRASHES - 1].at_us +
				     PART_DOUBT_US)
			return 0;
		hold_us = PART_HOLD_US;
		for (i = PART_PROVEN_CRASHES; i < n; i++)
			hold_us *= 2;
		if (hold_us > PART_QUARANTINE_US)
			hold_us = PART_QUARANTINE_US;
	} else if (n < new_crashes(watch)) {
		return 0;
	}
	return crashes[n - 1].at_us + hold_us;
}

static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;
	const struct part_report *p = &x->entry->report;
	const struct part_report *q = &y->entry->report;

	if (was_proven(p) != was_proven(q))
		return was_proven(p) - was_proven(q);
	if (x->n != y->n)
		return y->n - x->n;
	if (p->sound_us != q->sound_us)
		return p->sound_us < q->sound_us ? -1 : 1;
	return p->part < q->part ? -1 : p->part > q->part;
}

static bool is_explained(const struct part_watch *watch, uint64_t server)
{
	struct part_entry *entry;
	int i;

	for (i = 0; i < watch->n_held; i++) {
		entry = entry_find(watch, watch->held[i]);
		if (report_crash(&entry->report, server))
			return true;
	}
	return false;
}

/* The crashes that no part held so far was in. */
static int unexplained(const struct part_watch *watch,
		       const struct part_report *report,
		       struct part_crash *crashes)
{
	int n = 0;
	int i;

	for (i = 0; i < report->n; i++)
		if (!is_explained(watch, report->crashes[i].server))
			crashes[n++] = report->crashes[i];
	return n;
}

static size_t list_candidates(struct part_watch *watch,
			      struct candidate *candidates, int64_t now_us)
{
	struct part_entry *entry;
	struct part_entry *next;
	size_t n = 0;

	map_foreach(entry, next, &watch->entries, node) {
		entry->held_until_us = 0;
		if (last_crash_us(&entry->report) <=
		    now_us - PART_QUARANTINE_US)
			entry_drop(watch, entry);
		else if (entry->report.n >= PART_NEW_CRASHES)
			candidates[n++] =
				(struct candidate){ entry, entry->report.n };
		else
			entry->held = false;
	}
	qsort(candidates, n, sizeof(*candidates), compare_candidates);
	return n;
}

static void entry_hold(struct part_entry *entry, bool held)
{
	if (held && !entry->held)
		entry->held_n = entry->report.n;
	entry->held = held;
}

static void decide(struct part_watch *watch, int64_t now_us)
{
	struct candidate *candidates =
		xcalloc(watch->entries.count + 1, sizeof(*candidates));
	struct part_crash crashes[PART_CRASHES];
	size_t n = list_candidates(watch, candidates, now_us);
	size_t i;

	watch->n_held = 0;
	for (i = 0; i < n && watch->n_held < PART_HELD_MOST; i++) {
		struct part_entry *entry = candidates[i].entry;
		int left = unexplained(watch, &entry->report, crashes);

		entry->held_until_us = held_until_us(watch, &entry->report,
						     crashes, left, now_us);
		entry_hold(entry, entry->held_until_us > now_us);
		if (entry->held)
			watch->held[watch->n_held++] = entry->report.part;
	}
	watch->decide_us = n ? now_us + DECIDE_US : INT64_MAX;
	free(candidates);
}

int64_t part_held_us(struct part_watch *watch, uint64_t part, int64_t now_us)
{
	const struct part_entry *entry;

	if (now_us >= watch->decide_us)
		decide(watch, now_us);
	if (!watch->n_held)
		return 0;
	entry = entry_find(watch, part);
	if (!entry || entry->held_until_us <= now_us)
		return 0;
	return entry->held_until_us - now_us;
}

/*
 * Each try is due at one place of 0..1, which one VM has. Parts that always come
 * together were in the same crashes, and have to be tried together.
 */
static double try_place(const struct part_report *report, int64_t number)
{
	uint64_t key[] = { report->crashes[report->n - 1].server,
			   (uint64_t)number };

	return (double)(map_hash(key, sizeof(key)) >> 11) * 0x1p-53;
}

bool part_may_try(const struct part_watch *watch, uint64_t part,
		  const struct part_interval *own, int64_t now_us)
{
	const struct part_entry *entry = entry_find(watch, part);
	const struct part_report *report;
	int64_t from_us;
	int64_t number;
	double place;
	int crashes;

	if (!entry || !entry->held)
		return false;
	report = &entry->report;
	crashes = report->n - entry->held_n;
	from_us = last_crash_us(report) +
		  (crashes > 0 ? PART_TRY_AGAIN_US : PART_TRY_US);
	number = (now_us - from_us) / PART_TRY_US;
	/* Whoever was told of all crashes at once doesn't know the tries. */
	if (last_crash_us(report) < entry->since_us ||
	    report->n == PART_CRASHES || crashes >= PART_TRY_CRASHES ||
	    now_us < from_us || number >= PART_TRY_NUMBER ||
	    entry->tried_us >= from_us + number * PART_TRY_US)
		return false;
	place = try_place(report, number);
	return own->begin <= place && place < own->end;
}

void part_tried(struct part_watch *watch, uint64_t part, int64_t now_us)
{
	struct part_entry *entry = entry_find(watch, part);

	if (entry)
		entry->tried_us = now_us;
}

bool part_find(const struct part_watch *watch, uint64_t part,
	       struct part_report *report)
{
	const struct part_entry *entry = entry_find(watch, part);

	if (entry)
		*report = entry->report;
	return entry != NULL;
}

void part_visit(const struct part_watch *watch, bool suspects,
		part_visitor *visit, void *data)
{
	struct part_entry *entry;
	struct part_entry *next;

	map_foreach(entry, next, &watch->entries, node)
		if (entry->report.n &&
		    (!suspects || part_is_suspect(&entry->report)))
			visit(data, &entry->report);
}
