#ifndef FILBERTHALL_FEED_FEED_READ_H
#define FILBERTHALL_FEED_FEED_READ_H

#include "core/pack.h"
#include "feed/feed.h"

/** What the files feed_read*.c share; nobody else includes this. */

/* feed_read.c */
bool feed_read_name(const struct unpacked *items, size_t i,
		    char name[BACKEND_NAME_SIZE]);

/* feed_read_load.c */
bool feed_read_count(const struct unpacked *items, size_t i, int *count);
bool feed_read_limit(const struct unpacked *items, struct feed_limit *limit);
bool feed_read_crashes(const struct unpacked *items,
		       struct poison_report *report);
bool feed_read_part(const struct unpacked *items, struct part_report *report);
bool feed_read_unserved(const struct unpacked *items,
			struct feed_unserved *unserved);
bool feed_read_short(const struct unpacked *items, struct feed_short *told);

#endif
