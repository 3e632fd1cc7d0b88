#include "order.h"

#include <string.h>

const char *const order_two[ORDER_SERVERS] = { "v1", "v2", "v1",
					       "v2", "v1", "v2" };
const char *const order_three[ORDER_SERVERS] = { "v1", "v2", "v3",
						 "v1", "v2", "v3" };
const char *const order_one[ORDER_SERVERS] = { "v1", "v1", "v1",
					       "v1", "v1", "v1" };

struct entries *order_start(const char *const versions[ORDER_SERVERS])
{
	struct entries *entries = entries_new(ORDER_VMS, ORDER_SERVERS);
	int i;

	for (i = 0; i < ORDER_SERVERS; i++)
		if (strcmp(versions[i], "v1") != 0)
			entries_restart_server(entries, i, versions[i]);
	entries_run(entries, 4 * SECOND);
	return entries;
}

/* Each stream is begun, left after a few events and resumed `away` VMs on. */
void order_resume_each(struct entries *entries, int away, int64_t pause_us)
{
	int i;

	for (i = 0; i < ORDER_STREAMS; i++) {
		struct entries_stream *stream =
			streams_begin(entries, i % ORDER_VMS);

		entries_run(entries, ORDER_LEAVE_US);
		if (pause_us) {
			entries_leave(entries, stream->vm, stream->id);
			entries_run(entries, pause_us);
		}
		streams_resume(entries, stream, (i + away) % ORDER_VMS);
		entries_run(entries, ORDER_GAP_US);
	}
	entries_run(entries, SECOND);
}

static int n_begun(const struct entries *entries)
{
	int n = 0;
	guint i;

	for (i = 0; i < entries->streams->len; i++)
		n += streams_nth(entries, i)->events > 0;
	return n;
}

/*
 * None is joined. The share that goes on, of resumed ones, is at least half
 * of the share of new streams that begin.
 */
void order_check(struct entries *entries)
{
	int new = (int)entries->streams->len;

	g_assert_cmpint(streams_joined(entries), ==, 0);
	g_assert_cmpint(2 * streams_gone_on(entries) * new, >=,
			streams_resumed(entries) * n_begun(entries));
	entries_free(entries);
}

/* The same, where most of the callers have come back. */
void order_check_resumed(struct entries *entries)
{
	g_assert_cmpint(streams_resumed(entries), >=, ORDER_STREAMS / 6);
	order_check(entries);
}

/* Callers of the first VM's streams come to the last VM. */
void order_resume_at_last(struct entries *entries)
{
	guint i;

	for (i = 0; i < entries->streams->len; i++)
		streams_resume(entries, streams_nth(entries, i), ORDER_VMS - 1);
	entries_run(entries, 2 * SECOND);
}

void order_leave_all(struct entries *entries)
{
	guint i;

	for (i = 0; i < entries->streams->len; i++)
		streams_leave(entries, streams_nth(entries, i));
}

/* Their callers leave after a few events. */
void order_begin_at_first(struct entries *entries)
{
	int i;

	for (i = 0; i < ORDER_STREAMS; i++) {
		streams_begin(entries, 0);
		entries_run(entries, SECOND / 200);
	}
	order_leave_all(entries);
}
