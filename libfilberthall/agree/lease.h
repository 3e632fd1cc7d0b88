#ifndef FILBERTHALL_AGREE_LEASE_H
#define FILBERTHALL_AGREE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The lease of the leader. Its holder may give orders to the platform and the
 * engines and send usage reports; its term is the fencing number.
 *
 * Failure handled: a leader is partitioned, or paused and resumed, and goes on
 * giving orders while another leader does too. Some receivers don't check the
 * fencing number, so the number alone isn't enough: servers would be started,
 * paid for or reported twice.
 *
 * Why it is safe without any promise by voters about time: a quorum's answers
 * to what the holder sent at `quorum_us` were given before any later leader was
 * elected, since one member of that quorum still had to vote for it. So the old
 * lease ends at most `duration_us`, on the old holder's clock, after the new
 * election. The new holder waits that long on its own clock, extended for the
 * drift of two clocks, before its first order. An order is given only if its
 * timeout, and a margin for a pause between decision and sending, fit into the
 * rest of the lease.
 *
 * Not covered: a process that is paused between its last look at the clock and
 * the write() to the socket. The edge checks again right before the write
 * (lease_order_deadline), which leaves microseconds; a receiver that checks the
 * fencing number closes even that gap.
 *
 * An order to the platform takes up to a second, so 5 s of lease allow for one
 * or two lost renewals. Monotonic clocks of VMs differ by less than 500 ppm.
 */
struct lease_options {
	int64_t duration_us; /**< from the time of a quorum's confirmation; 5
	                     s */
	int64_t margin_us;   /**< every order must end this long before the
	                     lease does; 500 ms */
	int64_t drift_ppm;   /**< maximum rate error of any clock */
};

struct lease {
	struct lease_options options;
	bool held;
	int64_t term;		/**< fencing number */
	int64_t expires_us;	/**< holder's clock */
	int64_t first_order_us; /**< no order before this, holder's clock */
};

/** The default options. */
struct lease_options lease_default_options(void);

void lease_init(struct lease *lease, const struct lease_options *options);

/**
 * This VM was elected in `term`: wait until the previous holder's lease has
 * ended.
 */
void lease_elected(struct lease *lease, int64_t term, int64_t now_us);

/** A quorum answered what was sent at `quorum_us` in the same term. */
void lease_renew(struct lease *lease, int64_t quorum_us);

/** This VM is no longer leader, or starts a leadership transfer. */
void lease_end(struct lease *lease);

/** Whether this VM holds the lease now. */
bool lease_valid(const struct lease *lease, int64_t now_us);

/**
 * Whether an order or report with this timeout may be sent now. Its fencing
 * number is `lease->term`.
 */
bool lease_may_order(const struct lease *lease, int64_t timeout_us,
		     int64_t now_us);

/** Time on the holder's clock by which every order must have ended. */
int64_t lease_order_deadline(const struct lease *lease);

/** A duration `us` on one clock, in the worst case on another clock. */
int64_t lease_add_drift(int64_t us, int64_t drift_ppm);

#endif
