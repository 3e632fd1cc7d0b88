#ifndef FILBERTHALL_LOAD_POISON_H
#define FILBERTHALL_LOAD_POISON_H

#include <stdbool.h>
#include <stdint.h>

#include "base/map.h"

/**
 * Quarantine of requests that crash the engines that run them.
 *
 * Failure: one request crashes its engine, is retried on the next, crashes that
 * one too, and is then sent again by its caller. Without quarantine a single
 * request takes down a pool server by server, with everything that runs there.
 *
 * A request is identified by its fingerprint (organisation and hash of the
 * body), which also recognises the caller's resend, even on another VM: crashes
 * are sent to the other VMs over LINK_SHARE. One crash proves nothing, as all
 * other requests in the same batch end with it. After crashes of two different
 * servers the request is never tried on a third.
 *
 * A harmless request can be part of two crashes by coincidence. The run times
 * distinguish the two: a poison request crashes at the same point of its run
 * each time. A request that ran long on its first server and had just started
 * on the second is held for only half a minute, so that a resend soon succeeds.
 *
 * After that the first crash of a third server quarantines it.
 *
 * The quarantine lasts longer than callers' retries, and an operator has time
 * to see it.
 */
#define POISON_ENTRIES 4096
#define POISON_SUSPECT_US INT64_C(300000000)
#define POISON_QUARANTINE_US INT64_C(600000000)
#define POISON_HOLD_US INT64_C(30000000)
#define POISON_SAME_POINT 0.5

/** Requests whose last success is known; a new one replaces another. */
#define POISON_SUCCESSES 1024

/** Crashes that are kept of a request; with so many it is quarantined. */
#define POISON_CRASHES 3

enum poison_verdict {
	POISON_CLEAR,	/**< nothing known */
	POISON_SUSPECT, /**< in a crash, not held: may run */
	POISON_HELD	/**< in two crashes or more: must not run now */
};

/** A crash of a server while it ran a request. */
struct poison_crash {
	uint64_t server; /**< hash of one start of a server */
	int64_t ran_us;	 /**< from the request's start to the crash */
	int64_t at_us;	 /**< when it was, by this VM's monotonic clock */
};

/** What is known of one request. */
struct poison_report {
	uint64_t fingerprint;
	struct poison_crash crashes[POISON_CRASHES]; /**< earliest first */
	int n;
};

struct poison_success {
	uint64_t fingerprint;
	int64_t at_us;
	uint64_t excused; /**< server whose crash doesn't count, 0 for none */
};

struct poison {
	struct map entries;
	struct poison_success successes[POISON_SUCCESSES];
};

void poison_init(struct poison *poison);
void poison_clear(struct poison *poison);

/** Returns a request's fingerprint; 0 if its body's hash is unknown. */
uint64_t poison_fingerprint(const char *organisation, const char *body_hash);

/**
 * Records a crash. It counts once, however often it is recorded. Returns the
 * verdict on the request as of now.
 */
enum poison_verdict poison_crashed(struct poison *poison, uint64_t fingerprint,
				   const struct poison_crash *crash,
				   int64_t now_us);

enum poison_verdict poison_check(struct poison *poison, uint64_t fingerprint,
				 int64_t now_us);

/** Microseconds until the request isn't held any more; 0 if it isn't. */
int64_t poison_held_us(struct poison *poison, uint64_t fingerprint,
		       int64_t now_us);

/** Records the crashes of a report; false if all were known. */
bool poison_merge(struct poison *poison, const struct poison_report *report,
		  int64_t now_us);

/** What is known of a request; false if nothing is. */
bool poison_report(struct poison *poison, uint64_t fingerprint, int64_t now_us,
		   struct poison_report *report);

/** Calls `visit` for each request in as many crashes or more. */
void poison_visit(const struct poison *poison, int crashes, int64_t now_us,
		  void (*visit)(void *data, const struct poison_report *report),
		  void *data);

/** Moves the crashes by that time, from one clock to another. */
void poison_report_shift(struct poison_report *report, int64_t by_us);

/**
 * Whether a crash doesn't count against the request, which lately ran to its
 * end: many callers may send the same harmless request, and some of them run on
 * each server that crashes. True for the crash of one server after each
 * success.
 */
bool poison_excused(struct poison *poison, uint64_t fingerprint,
		    uint64_t server, int64_t now_us);

/** A request ran to its end without a crash. */
void poison_succeeded(struct poison *poison, uint64_t fingerprint,
		      int64_t now_us);

#endif
