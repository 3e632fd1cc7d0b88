#ifndef FAKES_FAULT_H
#define FAKES_FAULT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "fakes/server.h"

/**
 * Faults on request, by flag --fault JSON or by POST /fault JSON:
 *
 *	{"kind": "slow", "factor": 4}      all work takes 4 times as long
 *	{"kind": "crash"}                  the process ends at once
 *	{"kind": "crash-on-mark", "mark": "TEXT"}
 *	                                   ... when it runs a body with TEXT
 *	{"kind": "silent"}                 connections open now say no more
 *	{"kind": "late", "ms": 500}        the answer begins so much later
 *	{"kind": "crossed"}                another request's id and content
 *	{"kind": "close-after-read"}       closed before it runs
 *	{"kind": "crash-before-run"}       the process ends instead
 *	{"kind": "close-after-run"}        closed after it ran, no answer
 *	{"kind": "crash-after-run"}        the process ends instead
 *	{"kind": "break", "after": 5}      closed after so many tokens
 *	{"kind": "error", "status": 500}   answered so, not run
 *	{"kind": "double"}                 (platform) carried out twice
 *	{"kind": "none"}                   all faults off
 *
 * All but slow, crash, crash-on-mark, silent and none take "count": how many
 * requests they strike (1 if not given, 0 for no end), and "path": only
 * requests whose path begins so.
 */
enum fault_kind {
	FAULT_SLOW,
	FAULT_CRASH,
	FAULT_CRASH_ON_MARK,
	FAULT_SILENT,
	FAULT_LATE,
	FAULT_CROSSED,
	FAULT_CLOSE_AFTER_READ,
	FAULT_CRASH_BEFORE_RUN,
	FAULT_CLOSE_AFTER_RUN,
	FAULT_CRASH_AFTER_RUN,
	FAULT_BREAK,
	FAULT_ERROR,
	FAULT_DOUBLE,
	FAULT_NONE,
	FAULT_KINDS
};

struct faults {
	struct list faults; /**< struct fault */
	double slow;	    /**< factor, 1 for none */
	char *mark;	    /**< crash on a body that holds this, or NULL */
	struct server *server;
};

void faults_init(struct faults *faults, struct server *server);

void faults_clear(struct faults *faults);

/** Take a fault from JSON text; false if it can't be read. */
bool faults_add(struct faults *faults, const char *json);

/**
 * Whether a fault of this kind strikes the request; counts it down. `value`
 * (or NULL) gets its number: ms, after, status or 0.
 */
bool faults_strike(struct faults *faults, enum fault_kind kind,
		   const char *path, int64_t *value);

/** End the process at once if the body holds the mark of such a fault. */
void faults_crash_on_mark(const struct faults *faults, const char *body,
			  size_t len);

/** End the process at once, as a crash would. */
void faults_crash(const char *why) __attribute__((noreturn));

/** Answer POST /fault; false if the exchange is for another path. */
bool faults_handle(struct faults *faults, struct exchange *exchange);

#endif
