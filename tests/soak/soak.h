#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "daemon/edge.h"
#include "daemon/http/http_client.h"
#include "daemon/http/stream.h"

/**
 * A randomized soak of entry and control VMs: the real daemons as processes on
 * loopback addresses, and around them in this process what they serve:
 * callers, backend servers, an operator, the platform that takes reports.
 * Between all of them stand proxies that fail as networks do, and the daemons
 * are stopped, paused, killed and emptied by signals and by their files.
 *
 * One thread, one loop. The faults and the traffic follow from the seed; when
 * what happens beside them is up to the machine.
 */

#define SOAK_CONTROLS 5
#define SOAK_ENTRIES 3
#define SOAK_SERVERS 6
#define SOAK_VMS (SOAK_CONTROLS + SOAK_ENTRIES)

#define SOAK_MS INT64_C(1000)
#define SOAK_SECOND INT64_C(1000000)

/** What the site is promised, in the settings that the daemons get. */
#define SOAK_TIMEOUT_MS 4000
#define SOAK_WITHDRAWN_US (5 * SOAK_SECOND)
#define SOAK_APPLY_US (2 * SOAK_SECOND)
#define SOAK_DRAIN_US (2 * SOAK_SECOND)
#define SOAK_EVACUATE_US (5 * SOAK_SECOND)
#define SOAK_LEASE_US (3 * SOAK_SECOND)
#define SOAK_GRACE_S 8
#define SOAK_RECOVERY_US (12 * SOAK_SECOND)
/** Without a fault for so long, promises to VMs in touch hold. */
#define SOAK_CALM_US (3 * SOAK_SECOND)
/** Calls that a woken VM had begun to make may still arrive. */
#define SOAK_THAW_US (300 * SOAK_MS)

struct vm;
struct proxy;
struct server;
struct ledger;
struct callers;
struct operator;
struct zones;
struct platform;
struct parts;
struct crowd;

struct soak {
	struct ev_loop *ev;
	struct stream_loop loop;
	struct rng rng;
	struct rng stream_rng; /**< of versions and streams that are resumed */
	uint64_t seed;
	const char *folder;  /**< of this run's files */
	const char *program; /**< filberthalld */
	char net[16];	     /**< first three parts of all addresses */
	int port_operators;
	int port_links;
	int port_callers;
	int port_ready;
	bool verbose;
	bool same_ids;	    /**< also of servers that a part has crashed */
	int64_t rough_us;   /**< when a fault last began, ended or held */
	int64_t crashed_us; /**< when a server last crashed by a request */
	int64_t bound_us;   /**< when a request ended and no server was free */
	int faults;	    /**< that hold now */
	int violations;
	bool cut_off[SOAK_VMS];	  /**< from links that it has dialled itself */
	struct vm *vms[SOAK_VMS]; /**< control VMs first */
	struct server *servers[SOAK_SERVERS];
	struct ledger *ledger;
	struct callers *callers;
	struct operator* operator;
	struct zones *zones;
	struct platform *platform;
	struct parts *parts;
	struct crowd *crowd;
};

/** A promise was broken; printed, counted. */
void soak_violation(struct soak *soak, const char *promise, const char *format,
		    ...) __attribute__((format(printf, 3, 4)));

/** One line of what was done, for whoever reads a failed run. */
void soak_say(const struct soak *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Whether no fault holds, and none has since SOAK_CALM_US before `from`. */
bool soak_calm_since(const struct soak *soak, int64_t from_us);

/** "NET.host:port", to be freed. */
char *soak_address(const struct soak *soak, int host, int port);

/** A timer of the loop, once after `ms`. */
void soak_timer(struct soak *soak, ev_timer *timer,
		void (*run)(struct ev_loop *, ev_timer *, int), int64_t ms,
		void *data);

#endif
