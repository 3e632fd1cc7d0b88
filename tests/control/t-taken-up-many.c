/*
 * All entry VMs of a zone have no links to control VMs, while streams that
 * began there are taken up at others of that zone and of the other ones.
 */
#include <glib.h>

#include "order.h"

#define CUT_ZONE 1
#define SERVERS 6
#define NOTICED_US (6 * SECOND / 5)
#define COME_BACK_US (3 * SECOND / 10)
#define COME_BACKS 6

/* Links that a VM without control VMs opens. */
#define LINKS_MOST 2

static bool is_cut(const struct entries *entries, int vm)
{
	return entries_process(entries, vm) % GROUP_ZONES == CUT_ZONE;
}

/* The nth VM, from 0, that is cut off, or that isn't. */
static int nth_vm(const struct entries *entries, int nth, bool cut)
{
	int vm = 0;

	for (;; vm = (vm + 1) % entries->n_vms)
		if (is_cut(entries, vm) == cut && !nth--)
			return vm;
}

static int cut_zone(struct entries *entries)
{
	int n = 0;
	int vm;

	for (vm = 0; vm < entries->n_vms; vm++) {
		if (!is_cut(entries, vm))
			continue;
		entries_cut(entries, vm, true);
		n++;
	}
	return n;
}

static void begin(struct entries *entries)
{
	int i;

	for (i = 0; i < ORDER_STREAMS; i++) {
		streams_begin(entries, nth_vm(entries, i, true));
		entries_run(entries, SECOND / 200);
	}
	entries_run(entries, ORDER_LEAVE_US);
	order_leave_all(entries);
}

/* Every second caller comes to a VM of the zone that is cut off. */
static int come_back(struct entries *entries, int n)
{
	guint i;

	for (i = 0; i < entries->streams->len; i++) {
		struct entries_stream *stream = streams_nth(entries, i);

		if (stream->events && stream->state != STREAMS_WHOLE &&
		    stream->state != STREAMS_OPEN)
			streams_resume(entries, stream,
				       nth_vm(entries, (int)i + n, i % 2));
	}
	entries_run(entries, COME_BACK_US);
	return streams_in_state(entries, STREAMS_REFUSED);
}

static void play(int n_vms)
{
	struct entries *entries = entries_new(n_vms, SERVERS);
	int refusals = 0;
	int n_cut;
	int n;
	guint i;

	entries->announce_in_turn = true;
	entries_restart_server(entries, 1, "v2");
	entries_restart_server(entries, 4, "v2");
	entries_run(entries, 4 * SECOND);
	n_cut = cut_zone(entries);
	entries_run(entries, NOTICED_US);
	begin(entries);
	for (n = 0; n < COME_BACKS; n++)
		refusals += come_back(entries, n);
	g_test_message("%d VMs, %d cut off, %u links, %d refusals", n_vms,
		       n_cut, entries->neighbours->len, refusals);
	g_assert_cmpint(streams_resumed(entries), >=, ORDER_STREAMS / 2);
	g_assert_cmpint(streams_joined(entries), ==, 0);
	g_assert_cmpint(refusals, ==, 0);
	for (i = 0; i < entries->streams->len; i++)
		if (streams_nth(entries, i)->events)
			g_assert_cmpint(streams_nth(entries, i)->events, ==,
					STREAMS_EVENTS);
	g_assert_cmpuint(entries->neighbours->len, <=,
			 (guint)(LINKS_MOST * n_cut));
	entries_free(entries);
}

static void test_seven(void)
{
	play(7);
}

static void test_three_hundred(void)
{
	play(300);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/taken-up-many/seven", test_seven);
	g_test_add_func("/taken-up-many/three-hundred", test_three_hundred);
	return g_test_run();
}
