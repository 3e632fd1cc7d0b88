#ifndef FILBERTHALL_LOAD_PICK_H
#define FILBERTHALL_LOAD_PICK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "fleet/backend.h"
#include "load/place.h"
#include "load/prefix.h"
#include "load/warmup.h"

/**
 * Choice of a backend server for one request.
 *
 * Load pattern: load reports are seconds old. If every VM sends to the server
 * that was least loaded in the last report, all of them overload that server;
 * if reports are ignored, a straggler gets as much work as its peers.
 *
 * Each candidate is rated by the estimated time to the first token: the
 * requests queued there, the prefill that its prefix cache doesn't cover, and
 * the time per token in its batch. Two candidates are drawn at random and
 * compared with the server that holds the prefix; the best of them is taken.
 * Two random choices keep the longest queue within a few requests of the mean
 * (Mitzenmacher 2001), and the VMs don't all choose the same server. A prefix
 * holder is taken only while its load is below 1.25 times the mean (bounded
 * loads, Mirrokni et al. 2016), so that a popular prefix doesn't overload one
 * server.
 *
 * Requests with a long estimated output may use three quarters of a server's
 * slots while short requests of their tier or above are present. The last
 * quarter is then freed at the rate of the short requests, which never wait for
 * a critique to end.
 *
 * Cheap servers, which an availability zone can reclaim at a few seconds'
 * notice, are used only for classes that may be reclaimed.
 */
#define PICK_AFFINITY_BOUND 1.25
#define PICK_LONG_SHARE 0.75

/** Versions with streams that wait to go on, of one service at a time. */
#define PICK_RESERVED_MOST 8

struct pick_options {
	bool homes; /**< use load/place.h instead of the other options */
	bool two_choices;
	bool prefix_affinity;
	bool stragglers;
};

/** Capacity for streams that can go on nowhere else. */
struct pick_reserved {
	uint64_t version;
	uint64_t regions;
};

/** The request that a server is chosen for. */
struct pick_query {
	const char *adapter; /**< or NULL */
	const char *zone;    /**< own availability zone, preferred in ties */
	const char *avoid;   /**< address of a server to exclude, or NULL */
	const struct prefix_entry *prefix;
	int64_t prompt_tokens;
	bool cheap;	  /**< among cheap servers, else among the others */
	bool cap_long;	  /**< a long request while short ones are present */
	double mean_load; /**< requests per slot over all members */
	double hold_us;	  /**< mean time that a request uses a slot */
	/*
	 * This VM's share of each server's slots, as the interval from
	 * `share_begin` to `share_end` within 0..1. If both are 0, only the
	 * load report limits the number of requests.
	 */
	double share_begin;
	double share_end;
	struct place_query place; /**< with `homes` */
	bool cold;	   /**< among the cold servers; else the warm ones */
	double leave_free; /**< part of a server's slots, for higher tiers */
	uint64_t regions;  /**< of servers that may run it; 0: all */
	uint64_t version;  /**< that began the stream; 0: any may run it */
	bool leaving;	   /**< among the servers that linger */
	bool proven;	   /**< not to try whether one takes requests again */
	int64_t silent_us; /**< none that has been silent so long; 0: any */
	struct pick_reserved reserved[PICK_RESERVED_MOST];
	int n_reserved;
	struct warmup_vm vm; /**< for those */
};

/**
 * Returns the server among `members` to send the request to, or NULL if none
 * has a free slot. All members must serve the request's model or service.
 */
struct backend *pick_backend(const struct pick_options *options,
			     const struct pick_query *query,
			     struct backend *const *members, int n,
			     struct rng *rng, int64_t now_us);

/** Returns the estimated time to the first token, in microseconds. */
double pick_first_token_us(const struct backend *backend,
			   const struct pick_query *query,
			   const struct pick_options *options, int64_t now_us);

/**
 * Returns the number of a server's slots that this VM may use. The VMs' numbers
 * add up to the server's slots in spite of rounding, so that together they
 * never exceed them. Which VMs get the remainder differs from server to server.
 */
int64_t pick_own_slots(const struct backend *backend, double slots,
		       const struct pick_query *query);

/** Whether a server can serve the request, regardless of free slots. */
bool pick_fits(const struct backend *backend, const struct pick_query *query,
	       const struct pick_options *options, int64_t now_us);

/**
 * Whether all slots are in use at any of `members` that can serve the request.
 */
bool pick_any_full(const struct pick_options *options,
		   const struct pick_query *query,
		   struct backend *const *members, int n, int64_t now_us);

#endif
