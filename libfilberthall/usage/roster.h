#ifndef FILBERTHALL_USAGE_ROSTER_H
#define FILBERTHALL_USAGE_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"

/**
 * Entry VMs that tell a control VM what they count, by VM name.
 *
 * Failure answered: entry VMs are cut off from the control VMs around the end
 * of a usage window. They go on serving, and tell their counts once they are
 * back; a figure agreed meanwhile lacks them. So the control VM has to know
 * whose counts may still come. Those of a process that ended won't: its VM
 * comes back under another id.
 */

/** What an entry VM hasn't told by then is too old for any report. */
#define ROSTER_KEPT_US INT64_C(60000000)

/** Time for an entry VM to tell what it has counted, once its link is up. */
#define ROSTER_TELLS_US INT64_C(300000)

struct roster {
	struct list vms;
};

void roster_init(struct roster *roster);
void roster_clear(struct roster *roster);

/** An entry VM has a link to us; under another id it was started anew. */
void roster_up(struct roster *roster, const char *vm, uint64_t id,
	       int64_t now_us);

/** The link is down. */
void roster_down(struct roster *roster, uint64_t id, int64_t now_us);

/** How many entry VMs may have counted what they haven't told us yet. */
int roster_awaited(struct roster *roster, int64_t now_us);

#endif
