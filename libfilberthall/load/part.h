#ifndef FILBERTHALL_LOAD_PART_H
#define FILBERTHALL_LOAD_PART_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/map.h"

/**
 * Quarantine of parts of prompts that crash the engines that answer them.
 *
 * Failure: a part that many requests share crashes each engine that begins an
 * answer on it. No two requests are alike, so the quarantine of whole requests
 * (load/poison.h) sees each once, and the pool goes down server by server.
 *
 * A crash ends all that runs on its server, so it counts against all parts of
 * all these requests, on all VMs. What tells the parts apart:
 * - A part is sound as of the time at which a server began an answer that it
 *   then went on with; crashes before that don't count. A popular part has such
 *   answers all the time, a deadly one has none.
 * - Servers that are lost together ran what they ran before the first of them
 *   was lost. So a part is held only if some of its crashes were under requests
 *   that were sent after an earlier one.
 * - A crash that a held part explains doesn't count against another. Parts that
 *   have never been sound come first, then those with more crashes.
 *
 * - A server that is heard of after its crash has only broken an answer off, and
 *   what was counted for it is taken back.
 *
 * - Requests that are held can't prove their part sound. Where a hold stops much
 *   of a service, one VM at a time, by its interval among the VMs, sends one that
 *   tries, until two more crashes have shown that the hold is right.
 *
 * A part that was sound before is held for half a minute after its fifth crash
 * and longer with each further one, since the loss of a pool, twice, may look
 * the same. One that never was is held longer than callers' retries, so that an
 * operator has time to see it.
 */
#define PART_ENTRIES 1024

/** Parts that are held at the same time. */
#define PART_HELD_MOST 64

/** Latest crashes that are kept of a part. */
#define PART_CRASHES 16

/**
 * Crashes after which a part is held: never sound so far, or sound before. More
 * are needed of one that never was, up to PART_NEW_MOST, the more answers break
 * off anyway, so that only one new part in 1,000 is held by chance.
 */
#define PART_NEW_CRASHES 4
#define PART_NEW_MOST 8
#define PART_PROVEN_CRASHES 5
#define PART_CHANCE 0.001

/** Of these, under requests that were sent after the first one. */
#define PART_LATER_CRASHES 2

/** Time for answers that prove a part sound, or sound again, to be heard of. */
#define PART_NEW_DOUBT_US INT64_C(100000)
#define PART_DOUBT_US INT64_C(1000000)

#define PART_HOLD_US INT64_C(30000000)
#define PART_QUARANTINE_US INT64_C(600000000)

/** An answer that has gone on for so long didn't crash its server. */
#define PART_SOUND_US INT64_C(1000000)

/** Parts whose last sound answer is known; a new one replaces another. */
#define PART_SOUND_ENTRIES 4096

/**
 * Tries of a held part: their interval, how many there are from the first one
 * after a crash on, when these begin if a crash has come since the hold began,
 * and crashes since then that end them.
 */
#define PART_TRY_US INT64_C(2000000)
#define PART_TRY_NUMBER 3
#define PART_TRY_AGAIN_US INT64_C(30000000)
#define PART_TRY_CRASHES 2

/** Crashes from which on all VMs are told of a part. */
#define PART_TOLD_CRASHES 3

/** News of a part's sound answers is told at this interval at most. */
#define PART_TELL_US INT64_C(250000)

/** Starts of servers that are known to live; a new one replaces another. */
#define PART_STARTS 4096

/** What a server says may be on its way for so long as it crashes. */
#define PART_LIVES_US INT64_C(500000)

/** A crash of a server that ran requests with the part. */
struct part_crash {
	uint64_t server;    /**< hash of one start of a server */
	int64_t started_us; /**< when the last of the requests was sent */
	int64_t at_us;
};

/** No sound answer is known. */
#define PART_NEVER INT64_MIN

/**
 * What is known of a part. All times here are of the clock that the VMs share:
 * what is told on and on would become younger with each message otherwise.
 */
struct part_report {
	uint64_t part;
	int64_t sound_us; /**< last sound answer began then, or PART_NEVER */
	struct part_crash crashes[PART_CRASHES]; /**< since then, in time */
	int n;
};

struct part_sound {
	uint64_t part;
	int64_t at_us;
};

struct part_start {
	uint64_t server;  /**< hash of one start of a server */
	int64_t lives_us; /**< when it was last heard of */
	bool crashed;	  /**< a crash of it counts */
};

struct part_watch {
	struct map entries;
	uint64_t held[PART_HELD_MOST]; /**< as of the last decision */
	int n_held;
	struct part_sound sound[PART_SOUND_ENTRIES];
	struct part_start starts[PART_STARTS];
	int64_t decide_us; /**< the next decision on what is held */
	int n_news;	   /**< parts with news */
	double broken;	   /**< answers lately, and those that went on */
	double went_on;
	int64_t counted_us;
};

void part_watch_init(struct part_watch *watch);
void part_watch_clear(struct part_watch *watch);

/** Returns the name of a service's part, by the hash of its id. */
uint64_t part_name(const char *service, uint64_t id);

/** An answer of any request has broken off, or gone on. */
void part_count_answer(struct part_watch *watch, bool broken, int64_t now_us);

/**
 * Records what is known of a part; false if that was known. `tell` if it is
 * news to other VMs; what this VM knows better is so in any case.
 */
bool part_merge(struct part_watch *watch, const struct part_report *report,
		bool tell, int64_t now_us);

/** Records an answer that began at `at_us` and went on. */
void part_is_sound(struct part_watch *watch, uint64_t part, int64_t at_us,
		   int64_t now_us);

/** That start of a server was heard of at `at_us`: it hadn't crashed before. */
void part_server_lives(struct part_watch *watch, uint64_t server, int64_t at_us,
		       int64_t now_us);

/** Microseconds until the part isn't held any more; 0 if it isn't. */
int64_t part_held_us(struct part_watch *watch, uint64_t part, int64_t now_us);

/** A VM's interval of 0..1 among all VMs. */
struct part_interval {
	double begin;
	double end;
};

/** Whether this VM is to send a request with the held part now. */
bool part_may_try(const struct part_watch *watch, uint64_t part,
		  const struct part_interval *own, int64_t now_us);

/** A request with the held part is sent. */
void part_tried(struct part_watch *watch, uint64_t part, int64_t now_us);

/** What is known of a part; false if no crash is. */
bool part_find(const struct part_watch *watch, uint64_t part,
	       struct part_report *report);

/** Whether all VMs are to know of the part's crashes. */
bool part_is_suspect(const struct part_report *report);

typedef void part_visitor(void *data, const struct part_report *report);

/**
 * Calls `visit` for each part of which other VMs may know less. `suspect` says
 * whether VMs that didn't ask are to know: of a crash of a suspect part, or that
 * it isn't suspect any more.
 */
void part_take_news(struct part_watch *watch, int64_t now_us,
		    void (*visit)(void *data, const struct part_report *report,
				  bool suspect),
		    void *data);

/** Calls `visit` for each part with a crash, or only for suspect ones. */
void part_visit(const struct part_watch *watch, bool suspects,
		part_visitor *visit, void *data);

#endif
