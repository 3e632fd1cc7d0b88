#ifndef FAKES_BACKEND_H
#define FAKES_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "fakes/announcer.h"
#include "fakes/fault.h"
#include "fakes/loop.h"
#include "fakes/options.h"
#include "fakes/server.h"

/**
 * What all stand-in backend servers have in common: they listen, publish
 * their address, announce themselves, take faults, and on SIGTERM leave: say
 * so, let what runs end whole, and end after a while.
 */
struct backend {
	const struct options *options;
	struct loop loop;
	struct server server;
	struct faults faults;
	struct announcer announcer;
	struct loop_timer end_timer;
	server_handle_fn handle;
	void *data;
};

/**
 * Listen; then the owner fills `announcer.announce` with what it is and calls
 * backend_announce(). False (and a message) if it can't.
 */
bool backend_start(struct backend *backend, const struct options *options,
		   server_handle_fn handle, announcer_measure_fn measure,
		   void *data);

/** Publish the address and begin to announce. */
bool backend_announce(struct backend *backend);

/** Run until a signal has let the server leave. */
void backend_run(struct backend *backend);

/** Break off what is open; calls back for each open exchange. */
void backend_clear(struct backend *backend);

/** Milliseconds since it said that it leaves, or 0. */
int64_t backend_left_ms(const struct backend *backend);

#endif
