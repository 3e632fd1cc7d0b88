#include "fakes/loop.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "base/alloc.h"

#define LOOP_EVENTS 64
#define US_PER_S 1000000
#define NS_PER_US 1000

int64_t loop_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

static void loop_signal_ready(void *data, uint32_t events)
{
	struct loop *loop = data;
	struct signalfd_siginfo info;

	if (read(loop->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (loop->on_signal)
		loop->on_signal(loop->signal_data);
	else
		loop_end(loop);
}

static void loop_timer_ready(void *data, uint32_t events)
{
	struct loop *loop = data;
	uint64_t count;

	/* Only takes the readiness away; due timers run each turn anyway. */
	if (read(loop->timer_fd, &count, sizeof(count)) < 0)
		return;
	loop->armed_us = 0;
}

static int loop_open_signals(void)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	return signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
}

bool loop_init(struct loop *loop)
{
	memset(loop, 0, sizeof(*loop));
	list_init(&loop->timers);
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->timer_fd =
		timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK);
	loop->signal_fd = loop_open_signals();
	if (loop->epoll_fd < 0 || loop->timer_fd < 0 || loop->signal_fd < 0)
		return false;
	loop->signal_watch = xcalloc(1, sizeof(struct loop_watch));
	loop->signal_watch->ready = loop_signal_ready;
	loop->signal_watch->data = loop;
	loop->timer_watch = xcalloc(1, sizeof(struct loop_watch));
	loop->timer_watch->ready = loop_timer_ready;
	loop->timer_watch->data = loop;
	return loop_watch(loop, loop->signal_fd, EPOLLIN, loop->signal_watch) &&
	       loop_watch(loop, loop->timer_fd, EPOLLIN, loop->timer_watch);
}

void loop_clear(struct loop *loop)
{
	close(loop->epoll_fd);
	close(loop->timer_fd);
	close(loop->signal_fd);
	free(loop->signal_watch);
	free(loop->timer_watch);
}

bool loop_watch(struct loop *loop, int fd, uint32_t events,
		struct loop_watch *watch)
{
	struct epoll_event event = { .events = events, .data.ptr = watch };

	return epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0;
}

void loop_rewatch(struct loop *loop, int fd, uint32_t events,
		  struct loop_watch *watch)
{
	struct epoll_event event = { .events = events, .data.ptr = watch };

	epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, fd, &event);
}

void loop_unwatch(struct loop *loop, int fd)
{
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
}

void loop_timer_init(struct loop_timer *timer, void (*fire)(void *data),
		     void *data)
{
	list_init(&timer->node);
	timer->fire = fire;
	timer->data = data;
}

void loop_timer_cancel(struct loop_timer *timer)
{
	list_remove(&timer->node);
}

bool loop_timer_is_set(const struct loop_timer *timer)
{
	return !list_empty(&timer->node);
}

/* Whether a time is nearer to the first timer's than to the last one's. */
static bool loop_is_early(const struct loop *loop, int64_t at_us)
{
	const struct loop_timer *first =
		list_first(&loop->timers, struct loop_timer, node);
	const struct loop_timer *last =
		list_last(&loop->timers, struct loop_timer, node);

	return first && at_us - first->at_us < last->at_us - at_us;
}

void loop_timer_set(struct loop *loop, struct loop_timer *timer, int64_t at_us)
{
	struct loop_timer *other;

	loop_timer_cancel(timer);
	timer->at_us = at_us;
	/* Thousands of far time-outs stand behind a few near timers. */
	if (loop_is_early(loop, at_us)) {
		list_foreach(other, &loop->timers, node)
			if (other->at_us > at_us)
				break;
		list_insert_before(&other->node, &timer->node);
		return;
	}
	other = container_of(loop->timers.prev, struct loop_timer, node);
	while (&other->node != &loop->timers && other->at_us > at_us)
		other = container_of(other->node.prev, struct loop_timer, node);
	list_prepend(&other->node, &timer->node);
}

static void loop_fire_due(struct loop *loop)
{
	int64_t now_us = loop_now_us();
	struct loop_timer *timer;

	while ((timer = list_first(&loop->timers, struct loop_timer, node))) {
		if (timer->at_us > now_us)
			return;
		loop_timer_cancel(timer);
		timer->fire(timer->data);
	}
}

static void loop_arm(struct loop *loop)
{
	struct loop_timer *first =
		list_first(&loop->timers, struct loop_timer, node);
	int64_t at_us = first ? first->at_us : 0;
	struct itimerspec spec = { 0 };

	if (at_us == loop->armed_us)
		return;
	spec.it_value.tv_sec = at_us / US_PER_S;
	spec.it_value.tv_nsec = at_us % US_PER_S * NS_PER_US;
	timerfd_settime(loop->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
	loop->armed_us = at_us;
}

static void loop_wait(struct loop *loop, int64_t wait_ms)
{
	struct epoll_event events[LOOP_EVENTS];
	int n = epoll_wait(loop->epoll_fd, events, LOOP_EVENTS, (int)wait_ms);
	int i;

	for (i = 0; i < n; i++) {
		struct loop_watch *watch = events[i].data.ptr;

		watch->ready(watch->data, events[i].events);
	}
}

void loop_run(struct loop *loop)
{
	while (!loop->ended) {
		int64_t wait_ms = -1;

		loop_fire_due(loop);
		if (loop->on_turn)
			wait_ms = loop->on_turn(loop->turn_data);
		if (loop->ended)
			return;
		loop_arm(loop);
		loop_wait(loop, wait_ms);
	}
}

void loop_end(struct loop *loop)
{
	loop->ended = true;
}
