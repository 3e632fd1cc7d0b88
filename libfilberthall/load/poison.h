#ifndef FILBERTHALL_LOAD_POISON_H
#define FILBERTHALL_LOAD_POISON_H

#include <stdbool.h>
#include <stdint.h>

#include "base/map.h"

/**
 * Quarantine of requests that crash whatever runs them.
 *
 * Failure: one request crashes its engine, is retried on the next, crashes
 * that too, and its caller sends it again. Without quarantine a single
 * request takes a pool down server by server, with all that runs there.
 *
 * A request is known by its fingerprint (organisation and hash of its body),
 * so the caller's resend is known again, also on another VM: crashes are
 * passed on over LINK_SHARE. One crash isn't proof: all others in the same
 * batch end with it. Two crashes of different servers are, and the third
 * server is never tried.
 *
 * An innocent request can be in two crashes by bad luck. It is told apart by
 * time: a poison request crashes at the same point of its run each time. One
 * that had run long in its first server and had just started in the second
 * is only held back for half a minute, so that a resend soon works.
 *
 * The quarantine outlasts callers' own retries and lets an operator see it.
 */
#define POISON_ENTRIES 4096
#define POISON_SUSPECT_US INT64_C(300000000)
#define POISON_QUARANTINE_US INT64_C(600000000)
#define POISON_HOLD_US INT64_C(30000000)
#define POISON_SAME_POINT 0.5

enum poison_verdict {
	POISON_CLEAR,	/**< nothing known */
	POISON_SUSPECT, /**< was in one crash: may run, apart from others */
	POISON_HELD	/**< in two crashes: must not run now */
};

struct poison {
	struct map entries;
};

void poison_init(struct poison *poison);
void poison_clear(struct poison *poison);

/** Fingerprint of a request; 0 if its body's hash is unknown. */
uint64_t poison_fingerprint(const char *organisation, const char *body_hash);

/**
 * Note that a server crashed while it ran the request, `ran_us` after its
 * start. A crash of the same server is counted once.
 */
enum poison_verdict poison_crashed(struct poison *poison, uint64_t fingerprint,
				   uint64_t server, int64_t ran_us,
				   int64_t now_us);

enum poison_verdict poison_ask(struct poison *poison, uint64_t fingerprint,
			       int64_t now_us);

/** The request ran to its end: it crashes nothing. */
void poison_absolve(struct poison *poison, uint64_t fingerprint);

#endif
