/* An entry VM is out of step while servers of a new version join. */
#include <glib.h>

#include "order.h"

#define OUT (ORDER_VMS - 1)
#define JOINERS 2
#define COME_BACKS 6
#define COME_BACK_US (3 * SECOND / 10)
#define CONTROL_VMS 5

enum way {
	WAY_NO_CONTROL,	 /* cut off from all control VMs */
	WAY_ONE_CONTROL, /* from all but one */
	WAY_MINORITY,	 /* with two of five, which are cut off as well */
	WAY_FROZEN,
	WAYS
};

static const int64_t spans_us[] = { SECOND / 2, SECOND,	    3 * SECOND / 2,
				    2 * SECOND, 3 * SECOND, 4 * SECOND,
				    6 * SECOND, 10 * SECOND };

static void cut_minority(struct entries *entries, bool cut)
{
	int a;
	int b;

	for (a = 0; a < 2; a++)
		for (b = 2; b < CONTROL_VMS; b++)
			group_cut(entries->group, a, b, cut);
}

static void set_out(struct entries *entries, enum way way, bool out)
{
	int control;

	if (way == WAY_FROZEN) {
		entries_freeze(entries, OUT, out);
		return;
	}
	for (control = 0; control < CONTROL_VMS; control++)
		if (way == WAY_NO_CONTROL ||
		    control >= (way == WAY_ONE_CONTROL ? 1 : 2))
			entries_cut_from(entries, OUT, control, out);
	if (way == WAY_MINORITY)
		cut_minority(entries, out);
}

/* Streams at all other VMs, which their callers leave after a few events. */
static void begin_elsewhere(struct entries *entries)
{
	int i;

	for (i = 0; i < ORDER_STREAMS; i++) {
		streams_begin(entries, i % OUT);
		entries_run(entries, SECOND / 200);
	}
	order_leave_all(entries);
}

static void come_back(struct entries *entries, bool named)
{
	guint i;

	for (i = 0; i < entries->streams->len; i++) {
		struct entries_stream *stream = streams_nth(entries, i);

		if (!stream->events || stream->state == STREAMS_WHOLE ||
		    stream->state == STREAMS_OPEN)
			continue;
		if (named)
			streams_resume(entries, stream, OUT);
		else
			streams_resume_as(entries, stream, OUT, NULL);
	}
}

/* `news_first`: once it is back it hears of the new servers sooner. */
static void play(enum way way, int64_t us, bool news_first, bool named)
{
	struct entries *entries = entries_new(ORDER_VMS, 3);
	int64_t since_us;
	int n;

	since_us = group_now(entries->group);
	set_out(entries, way, true);
	entries_run(entries, SECOND / 20);
	for (n = 0; n < JOINERS; n++)
		entries_add_server(entries, "v2");
	entries_run(entries, SECOND / 20);
	begin_elsewhere(entries);
	if (way != WAY_FROZEN)
		come_back(entries, named);
	while (group_now(entries->group) - since_us < us) {
		entries_run(entries, SECOND / 10);
		if (way != WAY_FROZEN)
			come_back(entries, named);
	}
	set_out(entries, way, false);
	if (news_first)
		entries_run(entries, SECOND / 10);
	for (n = 0; n < COME_BACKS; n++) {
		come_back(entries, named);
		entries_run(entries, COME_BACK_US);
	}
	entries_run(entries, 2 * SECOND);
	g_test_message("way %d, %lld ms, news %s, named %d: %d resumed, "
		       "%d joined, %d whole",
		       way, (long long)(us / 1000),
		       news_first ? "first" : "last", named,
		       streams_resumed(entries), streams_joined(entries),
		       streams_in_state(entries, STREAMS_WHOLE));
	g_assert_cmpint(streams_joined(entries), ==, 0);
	entries_free(entries);
}

static void play_all(enum way way)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(spans_us); i++) {
		play(way, spans_us[i], false, true);
		play(way, spans_us[i], true, true);
		play(way, spans_us[i], false, false);
		play(way, spans_us[i], true, false);
	}
}

static void test_no_control(void)
{
	play_all(WAY_NO_CONTROL);
}

static void test_one_control(void)
{
	play_all(WAY_ONE_CONTROL);
}

static void test_minority(void)
{
	play_all(WAY_MINORITY);
}

static void test_frozen(void)
{
	play_all(WAY_FROZEN);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/out-of-step/no-control", test_no_control);
	g_test_add_func("/out-of-step/one-control", test_one_control);
	g_test_add_func("/out-of-step/minority", test_minority);
	g_test_add_func("/out-of-step/frozen", test_frozen);
	return g_test_run();
}
