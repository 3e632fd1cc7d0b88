#ifndef FILBERTHALL_USAGE_ROSTER_H
#define FILBERTHALL_USAGE_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"

/**
 * Entry VMs that send their counts to a control VM, by VM name.
 *
 * Failure handled: entry VMs are disconnected from the control VMs around the
 * end of a usage window. They continue to serve and send their counts after
 * reconnecting; figures committed before that lack them. So the control VM
 * has to know which entry VMs may still send counts. A process that ended
 * won't: its VM reconnects under another id.
 */

/** Counts that an entry VM hasn't sent by then are too old for any report. */
#define ROSTER_KEPT_US INT64_C(60000000)

/** Time for an entry VM to send its counts after its link is up. */
#define ROSTER_TELLS_US INT64_C(300000)

struct roster {
	struct list vms;
};

void roster_init(struct roster *roster);
void roster_clear(struct roster *roster);

/** An entry VM has connected; a different id means that it restarted. */
void roster_up(struct roster *roster, const char *vm, uint64_t id,
	       int64_t now_us);

/** The link to an entry VM is down. */
void roster_down(struct roster *roster, uint64_t id, int64_t now_us);

/**
 * Number of entry VMs that are connected or were so within that time, of at
 * most ROSTER_KEPT_US.
 */
int roster_seen(const struct roster *roster, int64_t within_us, int64_t now_us);

/** Number of entry VMs that may have counts they haven't sent yet. */
int roster_awaited(struct roster *roster, int64_t now_us);

#endif
