#ifndef FILBERTHALL_CORE_CORE_H
#define FILBERTHALL_CORE_CORE_H

#include <stdbool.h>
#include <stdint.h>

#include "agree/raft.h"
#include "base/bytes.h"
#include "base/error.h"
#include "core/effect.h"
#include "core/event.h"

/**
 * The reducer of a daemon: takes an event and the current time, changes its
 * state and returns effects for other threads to carry out. It reads no clock,
 * no file and no socket, so a recorded run replays to the same effects. The
 * state belongs to the modules: replicated settings and keys (agree/), routing
 * (load/), backend servers (fleet/) and billing (usage/). The reducer only
 * connects them.
 */
struct core;

/** Options of a daemon's start. All text is copied. */
struct core_options {
	uint64_t self;	     /**< member id */
	int64_t incarnation; /**< number of this start */
	uint64_t seed;
	const char *vm;
	const char *zone;
	const char *address; /**< IP:port of its links */
	bool disk;	     /**< has a data folder */
	bool platform;	     /**< a platform accepts orders */
	bool bootstrap;	     /**< create a new site if the folder is empty */
	struct bytes seed_values;  /**< JSON {PATH: value}, or empty */
	const char *seed_key_hash; /**< first operator's key, or NULL */
};

/**
 * Create a daemon's core.
 *
 * @param saved	state read from the data folder; zeroed without one
 * @param now_us	monotonic time
 * @return RESULT_OK, or RESULT_LOG_DAMAGED if `saved` is inconsistent
 */
enum result core_new(struct core **core, const struct core_options *options,
		     const struct raft_persistent_state *saved, int64_t now_us,
		     struct effects *effects);

void core_free(struct core *core);

/**
 * Process one event, which the core then owns, at monotonic time `now_us`,
 * which never goes back. Resulting effects are appended to `effects`, in
 * order.
 */
void core_step(struct core *core, struct event *event, int64_t now_us,
	       struct effects *effects);

/** The latest time at which the next tick is needed. */
int64_t core_next_tick(const struct core *core, int64_t now_us);

/** Options and saved state as one line of JSON: a recording's first line. */
void core_write_start(struct bytes *out, const struct core_options *options,
		      const struct raft_persistent_state *saved,
		      int64_t now_us);

/**
 * Start a core from a recording's first line. RESULT_MESSAGE_MALFORMED with
 * a message if it can't be read.
 */
enum result core_read_start(struct core **core, const char *line, size_t len,
			    struct effects *effects,
			    const struct error_handler *handler);

#endif
