#ifndef FAKES_LOOP_H
#define FAKES_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"

/**
 * One thread's event loop for the stand-ins: file descriptors, timers and
 * the signals that ask for an end. A stand-in does everything in this one
 * thread, so that it needs no locks and faults come at exact places.
 */
struct loop {
	int epoll_fd;
	int timer_fd;
	int signal_fd;
	struct list timers; /**< by time */
	int64_t armed_us;   /**< what the timer descriptor waits for */
	bool ended;
	void (*on_signal)(void *data);
	void *signal_data;
	/** Called once a turn; returns how long it can wait, ms, or -1. */
	int64_t (*on_turn)(void *data);
	void *turn_data;
	struct loop_watch *signal_watch;
	struct loop_watch *timer_watch;
};

/** A watched file descriptor; `ready` gets the epoll events. */
struct loop_watch {
	void (*ready)(void *data, uint32_t events);
	void *data;
};

/** A timer; a zeroed one that went through loop_timer_init() is unset. */
struct loop_timer {
	struct list node;
	int64_t at_us;
	void (*fire)(void *data);
	void *data;
};

/** Monotonic time in microseconds. */
int64_t loop_now_us(void);

/** Set up the loop and block SIGTERM, SIGINT and SIGPIPE. False on error. */
bool loop_init(struct loop *loop);

/** Release the loop's descriptors. */
void loop_clear(struct loop *loop);

/** Run until loop_end(). */
void loop_run(struct loop *loop);

/** Let loop_run() return after this turn. */
void loop_end(struct loop *loop);

/** Watch `fd` for epoll `events`; the watch must outlive it. */
bool loop_watch(struct loop *loop, int fd, uint32_t events,
		struct loop_watch *watch);

/** Change the events watched for. */
void loop_rewatch(struct loop *loop, int fd, uint32_t events,
		  struct loop_watch *watch);

/**
 * Stop watching, before `fd` is closed: a process that is being started has a
 * copy for a moment, and the closed one would go on to be watched.
 */
void loop_unwatch(struct loop *loop, int fd);

void loop_timer_init(struct loop_timer *timer, void (*fire)(void *data),
		     void *data);

/** Set the timer to `at_us`, whether or not it was set. */
void loop_timer_set(struct loop *loop, struct loop_timer *timer, int64_t at_us);

/** Unset the timer, if set. */
void loop_timer_cancel(struct loop_timer *timer);

/** Whether the timer is set. */
bool loop_timer_is_set(const struct loop_timer *timer);

#endif
