#ifndef FILBERTHALL_FLEET_REGISTRY_H
#define FILBERTHALL_FLEET_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/map.h"
#include "fleet/backend.h"

/**
 * Which starts of backend servers are known, told by themselves to some
 * control VM and passed on to all others and to the entry VMs.
 *
 * Failures answered: what a server says arrives late, twice, in any order and
 * over several VMs. Taken as it comes, a late "ready" would bring back a
 * server that has left, or one whose address another service has meanwhile,
 * and requests would go there. Each start of a server is told apart by the
 * moment at which it began, within a start a counter orders what it says; and
 * a start that has left stays dead.
 *
 * Silence: a server that is heard by nobody is dropped, but only while others
 * are heard. If the control VMs themselves are gone, the last known servers
 * are the best there are.
 */

/** One start of a backend server. Plain data, copied freely. */
struct registration {
	char id[BACKEND_NAME_SIZE];
	char address[BACKEND_NAME_SIZE]; /**< IP:port */
	char service[BACKEND_NAME_SIZE];
	char zone[BACKEND_NAME_SIZE];
	int64_t born_ms;   /**< wall clock of its start; 0 if it doesn't say */
	int64_t sequence;  /**< grows with all that this start says */
	int64_t slots;	   /**< requests at once */
	int64_t leaves_ms; /**< when it will be gone, 0 unknown */
	bool cheap;	   /**< may be reclaimed, with its zone */
	bool leaving;	   /**< no new work */
	bool gone;	   /**< this start will never work again */
};

/** A registration as it is kept. */
struct registered {
	struct map_node node;  /**< by id */
	struct map_node place; /**< by address, unless gone */
	struct map_node mark;  /**< by registration_mark(), unless gone */
	bool placed;	       /**< `place` and `mark` are in their maps */
	struct registration told;
	int64_t heard_us; /**< last sign of life, own clock */
	int64_t here_us;  /**< last one that this VM heard by itself */
	bool silent;	  /**< unheard while others were heard */
};

struct registry {
	struct map by_id;
	struct map by_address; /**< those that aren't gone */
	struct map by_mark;    /**< the same */
	int64_t heard_us;      /**< when any server was last heard of */
	int64_t silent_us;     /**< for so long unheard while others were */
};

/** What a message did. */
enum registry_outcome {
	REGISTRY_STALE,	  /**< older than what is known: ignored */
	REGISTRY_HEARD,	  /**< alive, and nothing new */
	REGISTRY_CHANGED, /**< pass it on */
};

/**
 * A start that nobody has heard for so many of its beats, and this time at
 * least, gets no work until it is heard again: so that a VM that was cut off
 * and the beats that went to it don't cost a server.
 */
#define REGISTRY_SILENT_BEATS 6
#define REGISTRY_SILENT_US INT64_C(8000000)

/**
 * How long a dead start is remembered. A message that was held up by a
 * partition may come minutes later.
 */
#define REGISTRY_DEAD_US INT64_C(600000000)

/** `beat_us`: how often servers are heard from, 0 if it isn't known. */
void registry_init(struct registry *registry, int64_t beat_us);
void registry_clear(struct registry *registry);

/**
 * Take in what a server said at `heard_us`.
 *
 * @param replaced	set to an older start at the same address, which is
 *			marked as gone, or NULL
 */
enum registry_outcome registry_take(struct registry *registry,
				    const struct registration *told,
				    int64_t heard_us,
				    struct registered **replaced);

/** A server said goodbye: no new work for it. NULL if it is unknown. */
struct registered *registry_leave(struct registry *registry, const char *id);

/** The start is alive as of `heard_us`; NULL if it isn't the one known. */
struct registered *registry_alive(struct registry *registry, const char *id,
				  int64_t born_ms, int64_t heard_us);

/** A start's short name on links: REGISTRATION_MARK_BYTES of a hash. */
#define REGISTRATION_MARK_BYTES 5
uint64_t registration_mark(const char *id, int64_t born_ms);

/** The start with that mark that isn't gone, or NULL. */
struct registered *registry_find_mark(const struct registry *registry,
				      uint64_t mark);

/** Some server was heard, known or not. */
void registry_heard(struct registry *registry, int64_t heard_us);

/** Whether the start may get new work. */
bool registered_usable(const struct registered *registered);

/** Number of servers that may get work. */
int registry_usable(const struct registry *registry);

struct registered *registry_find(const struct registry *registry,
				 const char *id);

/** The living start at that address, or NULL. */
struct registered *registry_at(const struct registry *registry,
			       const char *address);

/**
 * Mark as silent what wasn't heard while others were, and forget what has long
 * been dead. Calls `silent` (NULL is allowed) with each newly silent one.
 */
void registry_expire(struct registry *registry, int64_t now_us,
		     void (*silent)(void *data, struct registered *registered),
		     void *data);

#endif
