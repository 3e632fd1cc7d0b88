#include "daemon/core_thread.h"

#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>
#include <urcu/wfcqueue.h>

#include "base/alloc.h"
#include "core/script.h"

/* An event with its place in the queue. */
struct queued {
	struct cds_wfcq_node node;
	struct event *event;
};

struct core_thread {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int wake;	   /* eventfd */
	atomic_bool awake; /* the thread will look at the queue anyway */
	struct edge_sink sink;
	struct core_thread_options options;
	bool exit;
};

static void core_thread_post(void *data, struct event *event)
{
	struct core_thread *thread = data;
	struct queued *queued = xcalloc(1, sizeof(*queued));

	cds_wfcq_node_init(&queued->node);
	queued->event = event;
	cds_wfcq_enqueue(&thread->head, &thread->tail, &queued->node);
	/* One write wakes the thread; more would only cost system calls. */
	if (!atomic_exchange(&thread->awake, true))
		eventfd_write(thread->wake, 1);
}

struct core_thread *core_thread_new(void)
{
	struct core_thread *thread = xcalloc(1, sizeof(*thread));

	cds_wfcq_init(&thread->head, &thread->tail);
	thread->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (thread->wake < 0)
		abort();
	thread->sink.post = core_thread_post;
	thread->sink.data = thread;
	return thread;
}

const struct edge_sink *core_thread_sink(struct core_thread *thread)
{
	return &thread->sink;
}

static void core_thread_record(struct core_thread *thread, struct event *event)
{
	struct bytes line = { 0 };

	if (!thread->options.recording)
		return;
	script_write_event(&line, event);
	fwrite(line.data, 1, line.len, thread->options.recording);
	bytes_clear(&line);
}

static void core_thread_carry_out(struct core_thread *thread,
				  struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects))) {
		if (effect->kind == EFFECT_EXIT)
			thread->exit = true;
		thread->options.carry_out(thread->options.data, effect);
	}
}

static void core_thread_step(struct core_thread *thread, struct event *event)
{
	int64_t now_us = edge_now_us();
	struct effects effects;

	event->at_us = now_us;
	core_thread_record(thread, event);
	effects_init(&effects);
	core_step(thread->options.core, event, now_us, &effects);
	core_thread_carry_out(thread, &effects);
}

static struct event *core_thread_take(struct core_thread *thread)
{
	struct cds_wfcq_node *node;
	struct queued *queued;
	struct event *event;

	node = __cds_wfcq_dequeue_blocking(&thread->head, &thread->tail);
	if (!node)
		return NULL;
	queued = caa_container_of(node, struct queued, node);
	event = queued->event;
	free(queued);
	return event;
}

static void core_thread_tick(struct core_thread *thread)
{
	struct event *tick = event_new(EVENT_TICK);

	tick->u.tick.wall_us = edge_wall_us();
	core_thread_step(thread, tick);
}

/*
 * Wait for an event or the next tick, whichever is first. A post after the
 * flag is down wakes the thread; one before it is seen in the queue.
 */
static void core_thread_wait(struct core_thread *thread, int64_t tick_us)
{
	struct pollfd poll_wake = { thread->wake, POLLIN, 0 };
	int64_t left_us = tick_us - edge_now_us();
	struct timespec left = { 0, 0 };
	eventfd_t count;

	if (left_us > 0) {
		left.tv_sec = left_us / 1000000;
		left.tv_nsec = left_us % 1000000 * 1000;
	}
	atomic_store(&thread->awake, false);
	if (cds_wfcq_empty(&thread->head, &thread->tail))
		ppoll(&poll_wake, 1, &left, NULL);
	atomic_store(&thread->awake, true);
	eventfd_read(thread->wake, &count);
}

void core_thread_run(struct core_thread *thread,
		     const struct core_thread_options *options,
		     struct effects *effects)
{
	int64_t tick_us = 0;
	struct event *event;

	thread->options = *options;
	core_thread_carry_out(thread, effects);
	while (!thread->exit) {
		core_thread_wait(thread, tick_us);
		/* A long queue must not hold up heartbeats. */
		while (!thread->exit && edge_now_us() < tick_us &&
		       (event = core_thread_take(thread)))
			core_thread_step(thread, event);
		if (thread->exit || edge_now_us() < tick_us)
			continue;
		core_thread_tick(thread);
		tick_us = core_next_tick(options->core, edge_now_us());
	}
}

void core_thread_free(struct core_thread *thread)
{
	struct event *event;

	if (!thread)
		return;
	while ((event = core_thread_take(thread)))
		event_free(event);
	core_free(thread->options.core);
	cds_wfcq_destroy(&thread->head, &thread->tail);
	close(thread->wake);
	free(thread);
}
