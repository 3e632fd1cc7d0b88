#ifndef FILBERTHALL_LOAD_SHARE_H
#define FILBERTHALL_LOAD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/map.h"
#include "base/result.h"
#include "load/sched.h"

/**
 * One pool of backend servers shared by several daemons.
 *
 * Load pattern: seven daemons see the same servers through reports that are
 * seconds old. Each uses all the free slots it sees, so the servers' own queues
 * grow by a multiple of them, and no scheduling order applies there; and while
 * one daemon sheds a high tier, another admits a low one. The limits of an
 * organisation, if each daemon enforced them alone, would add up to seven times
 * their value.
 *
 * Four times a second each daemon reports its running and waiting requests by
 * pool and tier to one allocator (named by the agreed state), which assigns
 * slots: the demand of the top tier first, then that of the next tiers, and the
 * rest in equal parts. The grants also contain the highest tier under pressure
 * on any daemon: below that tier every daemon serves only minimum shares. The
 * limits of organisations are divided in the same way.
 *
 * The loss of the allocator, or of the connection to it, must not interrupt
 * service: 1.5 s after its last grants a daemon falls back to an equal part of
 * the pool, and the allocator reserves that part for a daemon whose reports it
 * no longer receives. The sum therefore exceeds the pool by at most the slots
 * that were reassigned in between.
 *
 * A round is about half the first-token target of the quickest class, and
 * several rounds may be lost before a fallback.
 */
#define SHARE_ROUND_US INT64_C(250000)
#define SHARE_STALE_US INT64_C(1500000)

/**
 * Limits of organisations are reported and divided only every fourth round, and
 * reported only by daemons that use them: otherwise 4,500 organisations on 330
 * daemons would be most of the traffic between daemons.
 */
#define SHARE_LIMIT_ROUNDS 4

/**
 * A daemon's demand fluctuates randomly, and each change of grants reassigns
 * slots that are still in use. Demand is therefore averaged over some rounds;
 * only an increase of the top tier takes effect at once.
 */
#define SHARE_DEMAND_GAIN 0.3

#define SHARE_NAME_SIZE 72

/** One daemon's report on one pool. */
struct share_demand {
	char pool[SHARE_NAME_SIZE];
	int64_t slots; /**< slots of the pool as this daemon counts them */
	int64_t demand[SCHED_TIERS]; /**< running and waiting */
	int64_t pressured_tier; /**< highest tier under pressure, or SCHED_TIERS */
};

/** One daemon's report on one organisation with limits. */
struct share_usage {
	char organisation[SHARE_NAME_SIZE];
	int64_t concurrent; /**< requests in progress */
	int64_t requests;   /**< requests since the last report */
	int64_t limit;	    /**< max_concurrent, 0 for none */
};

/*
 * The grants of all daemons are consecutive intervals, so that each daemon
 * knows which part of every server it may use.
 */
struct share_grant {
	char pool[SHARE_NAME_SIZE];
	int64_t slots;
	int64_t offset;		/**< slots of the daemons before this one */
	int64_t total;		/**< slots of all daemons */
	int64_t pressured_tier; /**< highest tier under pressure on any daemon */
};

struct share_limit_grant {
	char organisation[SHARE_NAME_SIZE];
	double rate_fraction; /**< fraction of the rate limits */
	int64_t concurrent;
};

/**
 * Divide `total` by demand: each gets its demand if the sum fits, else a part
 * in proportion to it, in whole numbers. `turn` rotates who gets the remainder.
 * Adds to `parts`; returns what is left of `total`.
 */
int64_t share_divide(int64_t total, const int64_t *wants, int64_t *parts, int n,
		     int64_t turn);

/**
 * The equal part of `total` of the daemon with index `at` of `n`, used without
 * an allocator.
 */
int64_t share_fallback(int64_t total, int n, int at);

/** Add `total` to `parts` in equal shares. */
void share_divide_equally(int64_t total, int64_t *parts, int n, int64_t turn);

/** The allocator's state: the reports and grants of all daemons. */
struct share;

struct share *share_new(void);
void share_free(struct share *share);

/** Set the members; a change discards all earlier reports. */
void share_set_members(struct share *share, const uint64_t *members, int n);

/** Record a contact with a daemon, its demand or its usage. */
void share_record_contact(struct share *share, uint64_t member, int64_t now_us);
void share_record_demand(struct share *share, uint64_t member,
			 const struct share_demand *demand, int64_t now_us);
void share_record_usage(struct share *share, uint64_t member,
			const struct share_usage *use, int64_t now_us);

/** Compute the grants of a round, which share_visit() then returns. */
void share_allocate(struct share *share, int64_t now_us);

/** Visit the slot and limit grants of one member after share_allocate(). */
void share_visit(const struct share *share, uint64_t member,
		 void (*grant)(void *data, const struct share_grant *grant),
		 void (*part)(void *data, const struct share_limit_grant *part),
		 void *data);

#endif
