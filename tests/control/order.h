#ifndef TESTS_CONTROL_ORDER_H
#define TESTS_CONTROL_ORDER_H

#include "streams.h"

/** Streams at servers of several versions, and what must hold of them. */

#define SECOND INT64_C(1000000)
#define ORDER_VMS 6
#define ORDER_SERVERS 6
#define ORDER_STREAMS 60
#define ORDER_GAP_US (SECOND / 20)

/** Streams are left after a few events. */
#define ORDER_LEAVE_US (STREAMS_FIRST_US + 6 * STREAMS_EVENT_US)

/** Versions of the servers. */
extern const char *const order_one[ORDER_SERVERS];
extern const char *const order_two[ORDER_SERVERS];
extern const char *const order_three[ORDER_SERVERS];

struct entries *order_start(const char *const versions[ORDER_SERVERS]);

/** Each stream is begun, left after a few events and resumed `away` VMs on. */
void order_resume_each(struct entries *entries, int away, int64_t pause_us);

/** Streams begin at the first VM; their callers leave after a few events. */
void order_begin_at_first(struct entries *entries);
void order_leave_all(struct entries *entries);

/** Callers come to the last VM. */
void order_resume_at_last(struct entries *entries);

/**
 * None is joined. The share that goes on, of resumed ones, is at least half
 * of the share of new streams that begin. Frees the entries.
 */
void order_check(struct entries *entries);

/** The same, where callers have come back. */
void order_check_resumed(struct entries *entries);

#endif
