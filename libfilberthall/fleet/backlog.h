#ifndef FILBERTHALL_FLEET_BACKLOG_H
#define FILBERTHALL_FLEET_BACKLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"

/**
 * Prompt tokens that were sent to servers and of which no answer has come.
 *
 * Load pattern: two hundred entry VMs send long prompts to servers that hold
 * their shared parts. Each knows what it has sent itself, a two-hundredth, and
 * goes on sending to a server that others have filled for seconds.
 *
 * Each entry VM tells control VMs what it waits for. The leader adds it up and
 * tells all entry VMs of the servers that are furthest behind; of the others
 * nobody need know. What was told is worked off as time goes by, so without
 * news a VM decides by its own figures again.
 */

/** Servers in one list; 64 of them are 448 bytes. */
#define BACKLOG_MOST 64

/** How often it is told. */
#define BACKLOG_TELL_US INT64_C(250000)

/** What an entry VM told longer ago isn't added up. */
#define BACKLOG_OLD_US INT64_C(1000000)

struct backlog_item {
	uint64_t mark; /**< registration_mark() of the server */
	int64_t tokens;
};

/** Zeroed is empty. */
struct backlog {
	struct backlog_item *items;
	size_t n;
	size_t room;
};

void backlog_add(struct backlog *backlog, uint64_t mark, int64_t tokens);

/** Add up items of the same server and keep the BACKLOG_MOST largest. */
void backlog_sum(struct backlog *backlog);

void backlog_clear(struct backlog *backlog);

/** As bytes for a link, and back: adds what the bytes hold. */
void backlog_write(const struct backlog *backlog, struct bytes *out);
bool backlog_read(struct backlog *backlog, const char *data, size_t len);

#endif
