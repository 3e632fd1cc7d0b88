#ifndef FILBERTHALL_TESTS_CORE_SITE_H
#define FILBERTHALL_TESTS_CORE_SITE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/core.h"

/**
 * Runs the cores of several daemons in one process. Messages between them are
 * delivered at once; disks sync at once unless held; time advances in steps of
 * 10 ms. Effects for the edges are kept for the test to inspect. No sockets,
 * no threads, no files.
 */
#define SITE_MAX 5
#define SITE_KEY \
	"1111111111111111111111111111111111111111111111111111111111111111" /* hash of the caller's key */
#define SITE_TEAM \
	"3333333333333333333333333333333333333333333333333333333333333333"
#define SITE_OPERATOR \
	"2222222222222222222222222222222222222222222222222222222222222222" /* hash of the first operator's key */

struct site_daemon {
	struct core *core;
	struct effects kept; /* for the edges, in order */
	bool stopped;	     /* neither ticks nor receives */
	bool hold_disk;	     /* syncs aren't confirmed */
	int64_t held_ticket;
	int64_t clock_skew_us;
};

struct site {
	int n;
	int64_t now_us;
	struct site_daemon daemons[SITE_MAX];
	bool cut[SITE_MAX][SITE_MAX]; /* no message from one to the other */
	bool linked[SITE_MAX][SITE_MAX];
	uint64_t next_id;
	const char *operator_hash; /* of the key that operators' calls use */
	GHashTable *reported;	   /* figures by window */
};

/** Start `n` daemons in zones of their own; the first one founds the site. */
void site_start(struct site *site, int n, const char *settings);
void site_free(struct site *site);

/** Advance time. */
void site_run(struct site *site, int64_t ms);

/** Deliver an event to one daemon now. */
void site_give(struct site *site, int daemon, struct event *event);

/** Cut one daemon off from all others, or reconnect it. */
void site_cut(struct site *site, int daemon, bool cut);

/** The link from one daemon to another comes up, at the first one's end. */
void site_link(struct site *site, int a, int b);

/** Announce an engine or service (model NULL) to one daemon. */
void site_announce(struct site *site, int daemon, const char *address,
		   const char *model, const char *service);

/** Send a chat completion with the caller's key; returns its id. */
uint64_t site_chat(struct site *site, int daemon, const char *class_name);

/** Send a non-repeatable call to the service "register"; returns its id. */
uint64_t site_call_service(struct site *site, int daemon,
			   const char *idempotency_key);

/** Send an operator's call, run until it is answered and return the code. */
enum result site_admin(struct site *site, int daemon, const char *command,
		       const char *args);

/** The first kept effect of that kind with that request id, or NULL. */
struct effect *site_find(struct site *site, int daemon, enum effect_kind kind,
			 uint64_t id);

/** Run until site_find() succeeds; fails the test after 20 s of site time. */
struct effect *site_await(struct site *site, int daemon, enum effect_kind kind,
			  uint64_t id);

/** Send the event with which an edge thread ends an attempt. */
void site_end_attempt(struct site *site, int daemon, uint64_t id,
		      int64_t attempt, enum result code, const char *answer);

/**
 * If the effect is a usage report, confirm it as a platform would, remove it
 * and return the output tokens that it bills, else 0. A repeated report of a
 * window must have the same figures and bills nothing.
 */
int64_t site_take_report(struct site *site, int daemon, struct effect *effect);

/** Count the attempts of that request that all daemons started. */
int site_count_attempts(struct site *site, uint64_t id);

/** Number of the leader's daemon, or -1. */
int site_leader(struct site *site);

#endif
