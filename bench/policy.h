#ifndef BENCH_POLICY_H
#define BENCH_POLICY_H

#include "load/router.h"

enum policy_kind {
	POLICY_ROUTER, /**< the daemon's router */
	POLICY_FIFO,   /**< passes on at once, round robin */
	POLICY_LEAST   /**< passes on at once, least outstanding */
};

/** What decides in a run. */
struct policy {
	const char *name;
	const char *about;
	enum policy_kind kind;
	struct router_features features;
	bool central; /**< one router in place of the scenario's */
};

/** The policy of that name into `policy`; false if there is none. */
bool policy_find(const char *name, struct policy *policy);

/** The n-th policy's name and purpose, or false past the last. */
bool policy_at(int n, struct policy *policy);

#endif
