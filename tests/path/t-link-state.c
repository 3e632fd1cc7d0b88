#include <glib.h>

#include "daemon/link/link_private.h"

#define SECOND INT64_C(1000000)

/*
 * Power comes back to all VMs, to an entry VM a third of a second before the
 * control VMs. Its first packet to them is lost and the kernel's next one goes
 * out after a second: callers were refused for that second while the control
 * VMs had been ready for long. A new connection must be made well before.
 */
static void a_lost_first_packet_costs_no_second(void)
{
	g_assert_false(link_is_overdue(LINK_CONNECTING, 0, 0, SECOND / 10));
	g_assert_true(link_is_overdue(LINK_CONNECTING, 0, 0, SECOND / 3));
}

/* Once connected, a busy peer may take longer to greet, and to say a word. */
static void a_slow_peer_is_waited_for(void)
{
	g_assert_false(link_is_overdue(LINK_SECURING, 0, 0, SECOND));
	g_assert_false(link_is_overdue(LINK_GREETING, 0, 0, SECOND));
	g_assert_true(link_is_overdue(LINK_GREETING, 0, 0, 3 * SECOND));
	g_assert_false(link_is_overdue(LINK_UP, 0, 9 * SECOND, 10 * SECOND));
	g_assert_true(link_is_overdue(LINK_UP, 0, 7 * SECOND, 10 * SECOND));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link-state/lost-first-packet",
			a_lost_first_packet_costs_no_second);
	g_test_add_func("/link-state/slow-peer", a_slow_peer_is_waited_for);
	return g_test_run();
}
