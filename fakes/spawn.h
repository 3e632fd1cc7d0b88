#ifndef FAKES_SPAWN_H
#define FAKES_SPAWN_H

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
struct spawn {
	struct loop *loop;
	struct list children; /**< struct spawn_child */
	struct loop_timer reap_timer;
	const struct addresses *daemons; /**< they announce to these */
	const char *folder;		 /**< of the programs */
};

struct spawn_child {
	struct list node;
	pid_t pid;
	char *address;
	char *zone;
	bool cheap;
};

/** What to start. */
struct spawn_request {
	const char *address;
	const char *zone;
	const char *model;   /**< of an engine, or NULL */
	const char *service; /**< of a plain service, or NULL */
	bool cheap;
};

void spawn_init(struct spawn *spawn, struct loop *loop, const char *folder,
		const struct addresses *daemons);

/** Find a free port for a child: IP:port, to be freed by the caller. */
char *spawn_pick_address(void);

/** Start a stand-in; false if that fails. */
bool spawn_start(struct spawn *spawn, const struct spawn_request *request);

/** Ask the child at that address to leave gracefully. */
void spawn_stop(struct spawn *spawn, const char *address);

/** End a zone's cheap children at once, as a reclaim does; how many. */
int64_t spawn_kill_cheap(struct spawn *spawn, const char *zone);

/** Whether a child with that address lives. */
bool spawn_has(const struct spawn *spawn, const char *address);

/** End all children and wait for them. */
void spawn_clear(struct spawn *spawn);

#endif
