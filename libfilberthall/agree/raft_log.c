#include <stdlib.h>
#include <string.h>

#include "agree/raft_internal.h"
#include "base/alloc.h"

#define RAFT_LOG_FIRST_CAPACITY 64

static void raft_log_free_from(struct raft_log *log, size_t at)
{
	size_t i;

	for (i = at; i < log->count; i++) {
		log->bytes -= (int64_t)log->items[i].body.len;
		bytes_clear(&log->items[i].body);
	}
	log->count = at;
}

void raft_log_clear(struct raft_log *log)
{
	raft_log_free_from(log, 0);
	free(log->items);
	memset(log, 0, sizeof(*log));
}

/**
 * Remove all entries; the log continues after `index`, whose entry has that
 * term.
 */
void raft_log_reset(struct raft_log *log, int64_t index, int64_t term)
{
	raft_log_free_from(log, 0);
	log->first = index + 1;
	log->before_term = term;
}

int64_t raft_log_last(const struct raft_log *log)
{
	return log->first + (int64_t)log->count - 1;
}

struct raft_entry *raft_log_at(const struct raft_log *log, int64_t index)
{
	if (index < log->first || index > raft_log_last(log))
		return NULL;
	return &log->items[index - log->first];
}

/** Term of an entry, -1 if it isn't held here. */
int64_t raft_log_term(const struct raft_log *log, int64_t index)
{
	const struct raft_entry *entry = raft_log_at(log, index);

	if (entry)
		return entry->term;
	return index == log->first - 1 ? log->before_term : -1;
}

struct raft_entry *raft_log_push(struct raft_log *log, int64_t term,
				 const char *data, size_t len)
{
	struct raft_entry *entry;

	if (log->count == log->capacity) {
		log->capacity = log->capacity ? 2 * log->capacity
					      : RAFT_LOG_FIRST_CAPACITY;
		log->items = xrealloc(log->items,
				      log->capacity * sizeof(*log->items));
	}
	entry = &log->items[log->count++];
	memset(entry, 0, sizeof(*entry));
	entry->index = raft_log_last(log);
	entry->term = term;
	entry->body.data = xmemdup(data, len);
	entry->body.len = len;
	entry->body.capacity = len + 1;
	log->bytes += (int64_t)len;
	return entry;
}

void raft_log_truncate(struct raft_log *log, int64_t from)
{
	if (from >= log->first && from <= raft_log_last(log))
		raft_log_free_from(log, (size_t)(from - log->first));
}

/** Drop the entries up to `upto`, which must be in memory. */
void raft_log_drop(struct raft_log *log, int64_t upto)
{
	size_t n = (size_t)(upto - log->first + 1);
	size_t i;

	if (upto < log->first)
		return;
	log->before_term = raft_log_term(log, upto);
	for (i = 0; i < n; i++) {
		log->bytes -= (int64_t)log->items[i].body.len;
		bytes_clear(&log->items[i].body);
	}
	log->count -= n;
	memmove(log->items, log->items + n, log->count * sizeof(*log->items));
	log->first = upto + 1;
}
