#ifndef FAKES_CHILDREN_H
#define FAKES_CHILDREN_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "base/list.h"
#include "fakes/addresses.h"
#include "fakes/loop.h"

/**
 * The processes that the platform's stand-in starts and stops. Only children
 * started here are ever ended, each by its process id.
 */
struct children {
	struct loop *loop;
	struct list list; /**< struct child */
	struct loop_timer reap_timer;
	const struct addresses *daemons; /**< they announce to these */
	const char *folder;		 /**< of the programs */
};

struct child {
	struct list node;
	pid_t pid;
	char *address;
	char *zone;
	bool cheap;
};

/** What to start. */
struct child_request {
	const char *address;
	const char *zone;
	const char *model;   /**< of an engine, or NULL */
	const char *service; /**< of a plain service, or NULL */
	bool cheap;
};

void children_init(struct children *children, struct loop *loop,
		   const char *folder, const struct addresses *daemons);

/** Find a free port for a child: IP:port, to be freed by the caller. */
char *children_pick_address(void);

/** Start a stand-in; false if that fails. */
bool children_start(struct children *children,
		    const struct child_request *request);

/** Ask the child at that address to leave gracefully. */
void children_stop(struct children *children, const char *address);

/** End a zone's cheap children at once, as a reclaim does; how many. */
int64_t children_kill_cheap(struct children *children, const char *zone);

/** Whether a child with that address lives. */
bool children_has(const struct children *children, const char *address);

/** End all children and wait for them. */
void children_clear(struct children *children);

#endif
