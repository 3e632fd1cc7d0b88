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
 * seconds old. Each fills the room it sees, so the servers' own queues grow
 * by a multiple of it, in which nobody's order holds; and while one daemon
 * sheds a high tier, another lets a low one in. Limits of an organisation,
 * kept by each daemon alone, are seven times what they should be.
 *
 * One allocator (whoever the agreed state names) is told four times a second
 * what each daemon has running and waiting, by pool and tier, and hands out
 * slots: all of the top tier's wants first, then the next, the rest in equal
 * parts. It also says which tier waits anywhere: below that tier every
 * daemon serves only minimum shares. The limits of organisations are handed
 * out in the same way.
 *
 * An allocator that falls silent, or a daemon that is cut off from it, must
 * not stop service: after 1.5 s a daemon falls back to the equal part of the
 * pool, and the allocator keeps just that part free for a daemon that it no
 * longer hears. So the sum never exceeds the pool by more than what changed
 * hands in between.
 *
 * A round is about half the first-token target of the quickest class, and
 * several rounds may be lost before a fallback.
 */
#define SHARE_ROUND_US INT64_C(250000)
#define SHARE_STALE_US INT64_C(1500000)

/**
 * Limits of organisations are reported and divided in each fourth round only,
 * and only by daemons that use them: 4,500 organisations on 330 daemons would
 * else be most of what daemons say to each other.
 */
#define SHARE_LIMIT_ROUNDS 4

/**
 * What a daemon wants wavers with chance. Each change of grants moves slots
 * that are still in use, so wants are averaged over some rounds; only a rise
 * of the top tier counts at once.
 */
#define SHARE_DEMAND_GAIN 0.3

#define SHARE_NAME_SIZE 72

/** What one daemon says of one pool. */
struct share_demand {
	char pool[SHARE_NAME_SIZE];
	int64_t slots;		     /**< of the pool, as it sees them */
	int64_t demand[SCHED_TIERS]; /**< running and waiting */
	int64_t pressured_tier;	     /**< highest tier that waits, or 4 */
};

/** What it says of one organisation with limits. */
struct share_usage {
	char organisation[SHARE_NAME_SIZE];
	int64_t concurrent; /**< requests in */
	int64_t requests;   /**< requests since the last round */
	int64_t limit;	    /**< max_concurrent, 0 for none */
};

/*
 * The grants of all daemons lie side by side, so that each knows which part
 * of every single server is its own.
 */
struct share_grant {
	char pool[SHARE_NAME_SIZE];
	int64_t slots;
	int64_t offset;		/**< slots of the daemons before this one */
	int64_t total;		/**< slots of all */
	int64_t pressured_tier; /**< highest tier that waits on any daemon */
};

struct share_limit_grant {
	char organisation[SHARE_NAME_SIZE];
	double rate_fraction; /**< of the rates */
	int64_t concurrent;
};

/**
 * Divide `total` by wants: each gets its want if all fit, else in proportion
 * to it; whole numbers, sum kept. `turn` rotates who gets the odd one.
 * Adds to `parts`; returns what is left of `total`.
 */
int64_t share_divide(int64_t total, const int64_t *wants, int64_t *parts, int n,
		     int64_t turn);

/**
 * The part of a whole number that falls to the daemon at place `at` of `n`
 * without an allocator.
 */
int64_t share_fallback(int64_t total, int n, int at);

/** Add `total` to `parts` in equal shares. */
void share_divide_equally(int64_t total, int64_t *parts, int n, int64_t turn);

/** The allocator's book of what it was told. */
struct share;

struct share *share_new(void);
void share_free(struct share *share);

/** Set who takes part; what was heard of others is dropped. */
void share_set_members(struct share *share, const uint64_t *members, int n);

/** Take in what a daemon says; counts as hearing from it. */
void share_record_contact(struct share *share, uint64_t member, int64_t now_us);
void share_record_demand(struct share *share, uint64_t member,
			 const struct share_demand *demand, int64_t now_us);
void share_record_usage(struct share *share, uint64_t member,
			const struct share_usage *use, int64_t now_us);

/** Work out a round; the calls below then tell each daemon its part. */
void share_allocate(struct share *share, int64_t now_us);

/** Visit the grants and parts of one member after share_allocate(). */
void share_visit(const struct share *share, uint64_t member,
		 void (*grant)(void *data, const struct share_grant *grant),
		 void (*part)(void *data, const struct share_limit_grant *part),
		 void *data);

#endif
