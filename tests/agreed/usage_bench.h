#ifndef FILBERTHALL_TESTS_AGREED_USAGE_BENCH_H
#define FILBERTHALL_TESTS_AGREED_USAGE_BENCH_H

#include "base/rng.h"
#include "site.h"
#include "usage/merge.h"
#include "usage/report.h"
#include "usage/window.h"

/**
 * Five VMs that count and report usage, messages between them that are lost,
 * late or doubled, and a platform that answers as it likes. What callers got
 * is noted beside, so that each report can be judged.
 */
#define VMS 5
#define ORGANISATIONS 3
#define TICK_US INT64_C(250000)
#define WINDOW_US (10 * SITE_SECOND_US)
#define GRACE_US (3 * SITE_SECOND_US)
#define MAX_WINDOWS 1200
#define FIRST_US (100 * WINDOW_US)

/* A message under way. */
struct mail {
	struct list node;
	int from;
	int to;
	int64_t due_us;
	struct bytes body;
};

struct vm {
	struct usage *usage;
	uint64_t incarnation;
	int64_t clock_us;    /* error of its wall clock */
	int64_t clock_until; /* then right again; 0: it is right */
	int64_t down_until;
	int64_t cut_until;
	int64_t counted[40]; /* tokens a tick, of the last ticks */
};

struct bench {
	struct rng rng;
	struct agreed *agreed;
	struct report *report;
	struct vm vms[VMS];
	struct list mails;
	int holder;
	int64_t now_us;
	int64_t index;
	bool faults;
	int64_t truth[MAX_WINDOWS][ORGANISATIONS];
	int64_t billed[MAX_WINDOWS][ORGANISATIONS];
	char *reported[MAX_WINDOWS]; /* what the platform took for a window */
	struct bytes order;	     /* of the report under way */
	char *order_id;
	int64_t order_due_us;
	int order_fate;
	int64_t at_risk; /* tokens that crashes may have lost */
	int late;
	int wrong;
	int reports;
	int crashes;
	int changes;
};

/** Start all VMs; what happens is drawn from `seed`. */
void usage_bench_start(struct bench *bench, unsigned int seed);
void usage_bench_stop(struct bench *bench);

/** Let one tick pass on all VMs. */
void usage_bench_step(struct bench *bench);

#endif
