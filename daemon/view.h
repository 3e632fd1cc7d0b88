#ifndef FILBERTHALL_DAEMON_VIEW_H
#define FILBERTHALL_DAEMON_VIEW_H

#include <stdatomic.h>
#include <stdbool.h>

#include "core/effect.h"

/**
 * What /healthz, /v1/models and /metrics show: an immutable snapshot, so that
 * a balancer's health checks never wait for the core. The threads that read
 * it belong to the HTTP library, therefore the flavour of RCU that registers
 * threads by itself.
 */
struct view {
	atomic_int references;
	bool healthy;
	struct bytes models;
	struct bytes metrics;
};

struct view_slot {
	struct view *_Atomic view;
};

/** Starts unhealthy and empty. */
void view_slot_init(struct view_slot *slot);

/**
 * Put a new view up; the old one goes when its last reader is done. Waits for
 * readers to leave their read side, which is three instructions long.
 */
void view_publish(struct view_slot *slot, const struct effect_publish *publish);

/** The present view; to be given back with view_unref(). */
struct view *view_get(struct view_slot *slot);
void view_unref(struct view *view);

void view_slot_clear(struct view_slot *slot);

#endif
