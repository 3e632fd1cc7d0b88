#include "fleet/backlog.h"

#include <stdlib.h>

#include "base/alloc.h"
#include "fleet/registry.h"

/* Tokens travel as two bytes in this unit; what doesn't fit is the most. */
#define UNIT_TOKENS 64
#define UNITS_MOST 65535

#define ITEM_BYTES (REGISTRATION_MARK_BYTES + 2)

void backlog_add(struct backlog *backlog, uint64_t mark, int64_t tokens)
{
	if (backlog->n == backlog->room) {
		backlog->room = backlog->room ? 2 * backlog->room : 16;
		backlog->items =
			xrealloc(backlog->items,
				 backlog->room * sizeof(*backlog->items));
	}
	backlog->items[backlog->n].mark = mark;
	backlog->items[backlog->n++].tokens = tokens;
}

static int compare_mark(const void *a, const void *b)
{
	const struct backlog_item *left = a;
	const struct backlog_item *right = b;

	return left->mark < right->mark ? -1 : left->mark > right->mark;
}

static int compare_tokens(const void *a, const void *b)
{
	const struct backlog_item *left = a;
	const struct backlog_item *right = b;

	if (left->tokens != right->tokens)
		return left->tokens > right->tokens ? -1 : 1;
	return compare_mark(a, b);
}

void backlog_sum(struct backlog *backlog)
{
	size_t last = 0;
	size_t i;

	if (!backlog->n)
		return;
	qsort(backlog->items, backlog->n, sizeof(*backlog->items),
	      compare_mark);
	for (i = 1; i < backlog->n; i++) {
		if (backlog->items[i].mark == backlog->items[last].mark)
			backlog->items[last].tokens += backlog->items[i].tokens;
		else
			backlog->items[++last] = backlog->items[i];
	}
	backlog->n = last + 1;
	qsort(backlog->items, backlog->n, sizeof(*backlog->items),
	      compare_tokens);
	if (backlog->n > BACKLOG_MOST)
		backlog->n = BACKLOG_MOST;
}

void backlog_clear(struct backlog *backlog)
{
	free(backlog->items);
	*backlog = (struct backlog){ 0 };
}

static void write_number(unsigned char *raw, uint64_t number, int len)
{
	int i;

	for (i = 0; i < len; i++)
		raw[i] = (unsigned char)(number >> (8 * i));
}

static uint64_t read_number(const unsigned char *raw, int len)
{
	uint64_t number = 0;
	int i;

	for (i = 0; i < len; i++)
		number |= (uint64_t)raw[i] << (8 * i);
	return number;
}

void backlog_write(const struct backlog *backlog, struct bytes *out)
{
	unsigned char raw[ITEM_BYTES];
	int64_t units;
	size_t i;

	for (i = 0; i < backlog->n; i++) {
		units = (backlog->items[i].tokens + UNIT_TOKENS - 1) /
			UNIT_TOKENS;
		if (units > UNITS_MOST)
			units = UNITS_MOST;
		write_number(raw, backlog->items[i].mark,
			     REGISTRATION_MARK_BYTES);
		write_number(raw + REGISTRATION_MARK_BYTES, (uint64_t)units, 2);
		bytes_append(out, (const char *)raw, sizeof(raw));
	}
}

bool backlog_read(struct backlog *backlog, const char *data, size_t len)
{
	const unsigned char *raw = (const unsigned char *)data;
	const unsigned char *end = raw + len;

	if (len % ITEM_BYTES)
		return false;
	for (; raw < end; raw += ITEM_BYTES)
		backlog_add(backlog, read_number(raw, REGISTRATION_MARK_BYTES),
			    UNIT_TOKENS *
				    (int64_t)read_number(
					    raw + REGISTRATION_MARK_BYTES, 2));
	return true;
}
