#include <ev.h>
#include <glib.h>
#include <pthread.h>

#include "daemon/role/reader.h"

#define READINGS 3
#define WAIT_S 30

struct bed {
	struct ev_loop *ev;
	ev_timer timer;
	pthread_mutex_t lock;
	pthread_cond_t ticked;
	int ticks;
	uint64_t calls[READINGS];
	int64_t versions[READINGS];
	int n;
};

static void on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct bed *bed = timer->data;

	pthread_mutex_lock(&bed->lock);
	bed->ticks++;
	pthread_cond_signal(&bed->ticked);
	pthread_mutex_unlock(&bed->lock);
}

/* Ends only once the loop has gone on meanwhile. */
static void read_slowly(void *data, struct reading *reading)
{
	struct timespec until;
	struct bed *bed = data;
	int from;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += WAIT_S;
	pthread_mutex_lock(&bed->lock);
	from = bed->ticks;
	while (bed->ticks < from + 3)
		g_assert_cmpint(pthread_cond_timedwait(&bed->ticked, &bed->lock,
						       &until),
				==, 0);
	pthread_mutex_unlock(&bed->lock);
	g_assert_cmpstr(bytes_text(&reading->text), ==, "text");
	reading->document = document_new();
}

static void on_read(void *data, struct reading *reading)
{
	struct bed *bed = data;

	g_assert_nonnull(reading->document);
	bed->calls[bed->n] = reading->call;
	bed->versions[bed->n] = reading->version;
	if (++bed->n == READINGS)
		ev_break(bed->ev, EVBREAK_ALL);
}

static void bed_open(struct bed *bed)
{
	*bed = (struct bed){ .ev = ev_loop_new(EVFLAG_AUTO) };
	pthread_mutex_init(&bed->lock, NULL);
	pthread_cond_init(&bed->ticked, NULL);
	ev_timer_init(&bed->timer, on_timer, 0.001, 0.001);
	bed->timer.data = bed;
	ev_timer_start(bed->ev, &bed->timer);
}

static void bed_close(struct bed *bed)
{
	ev_timer_stop(bed->ev, &bed->timer);
	ev_loop_destroy(bed->ev);
	pthread_cond_destroy(&bed->ticked);
	pthread_mutex_destroy(&bed->lock);
}

static void put(struct reader *reader, uint64_t call)
{
	struct bytes text = { 0 };

	bytes_append_text(&text, "text");
	reader_put(reader, call, &text);
	g_assert_null(text.data);
}

/* The loop stood still while a document was read. */
static void test_loop_goes_on(void)
{
	struct bed bed;
	struct reader_hooks hooks = { read_slowly, on_read, &bed };
	struct bytes text = { 0 };
	struct reader *reader;

	bed_open(&bed);
	bytes_append_text(&text, "text");
	reader = reader_start(bed.ev, &hooks);
	put(reader, 5);
	reader_put_version(reader, 12, &text);
	put(reader, 6);
	bytes_clear(&text);
	ev_run(bed.ev, 0);
	g_assert_cmpuint(bed.calls[0], ==, 5);
	g_assert_cmpint(bed.versions[1], ==, 12);
	g_assert_cmpuint(bed.calls[2], ==, 6);
	reader_stop(reader);
	bed_close(&bed);
}

static void read_at_once(void *data, struct reading *reading)
{
	reading->document = document_new();
}

/* What was read or wasn't by the end is freed, and told to nobody. */
static void test_stop(void)
{
	struct bed bed;
	struct reader_hooks hooks = { read_at_once, on_read, &bed };
	struct reader *reader;
	int i;

	bed_open(&bed);
	reader = reader_start(bed.ev, &hooks);
	for (i = 0; i < 100; i++)
		put(reader, 1);
	reader_stop(reader);
	g_assert_cmpint(bed.n, ==, 0);
	bed_close(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reader/loop-goes-on", test_loop_goes_on);
	g_test_add_func("/reader/stop", test_stop);
	return g_test_run();
}
