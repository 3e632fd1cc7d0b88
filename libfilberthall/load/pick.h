#ifndef FILBERTHALL_LOAD_PICK_H
#define FILBERTHALL_LOAD_PICK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "fleet/backend.h"
#include "load/place.h"
#include "load/prefix.h"

/**
 * Choice of a backend server for one request.
 *
 * Load pattern: load reports are seconds old. Whoever sends to the server
 * that looked idlest sends a herd to it, from each VM; whoever ignores
 * reports sends to a straggler as much as to its peers.
 *
 * Each candidate is judged by the estimated time to the first token: what
 * queues there, prefill that its prefix cache doesn't cover, and the pace of
 * its batch. Two candidates are drawn at random and the better one is taken,
 * beside the server that holds the prefix: two choices keep the worst queue
 * within a few requests of the mean (Mitzenmacher 2001) without every VM
 * agreeing on the same victim. A prefix holder is taken only while its load
 * is below 1.25 of the mean (bounded loads, Mirrokni et al. 2016), so a hot
 * prefix can't heap up on one server.
 *
 * Long work (by estimate) may hold three quarters of a server's slots while
 * short work of its tier or above is about: a fourth of the slots turns over
 * at the pace of the short ones, so that they never wait for a critique to
 * end.
 *
 * Cheap servers, which a zone's reclaim takes away on seconds' notice, are
 * only for classes that may be reclaimed.
 */
#define PICK_AFFINITY_BOUND 1.25
#define PICK_LONG_SHARE 0.75

struct pick_options {
	bool homes; /**< by load/place.h, in place of the rest */
	bool two_choices;
	bool prefix_affinity;
	bool stragglers;
};

/** What the choice depends on. */
struct pick_query {
	const char *adapter; /**< or NULL */
	const char *zone;    /**< own availability zone, preferred in ties */
	const char *avoid;   /**< address not to be taken, or NULL */
	const struct prefix_entry *prefix;
	int64_t prompt_tokens;
	bool cheap;	  /**< among cheap servers, else among the others */
	bool cap_long;	  /**< a long request while short ones are about */
	double mean_load; /**< requests per slot over all members */
	double hold_us;	  /**< mean time that a request holds a slot */
	/*
	 * This VM's part of each server's slots: those from `own_from` to
	 * `own_until`, both 0..1; 0 and 0 for no bound but the report.
	 */
	double own_from;
	double own_until;
	struct place_query place; /**< with `homes` */
};

/**
 * The server among `members` that should take the request, or NULL if none
 * has room. Members serve the right model or service.
 */
struct backend *pick_backend(const struct pick_options *options,
			     const struct pick_query *query,
			     struct backend *const *members, int n,
			     struct rng *rng, int64_t now_us);

/** Estimated time to the first token on a server, microseconds. */
double pick_first_token_us(const struct backend *backend,
			   const struct pick_query *query,
			   const struct pick_options *options, int64_t now_us);

/**
 * This VM's slots on a server. The VMs' parts of one server sum up to its
 * slots, whatever the rounding, so that together they never overrun it; the
 * odd ones fall to other VMs on each server.
 */
int64_t pick_own_slots(const struct backend *backend, double slots,
		       const struct pick_query *query);

/** Whether a server may take the request at all, room aside. */
bool pick_fits(const struct backend *backend, const struct pick_query *query,
	       const struct pick_options *options, int64_t now_us);

#endif
