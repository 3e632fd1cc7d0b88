#ifndef FILBERTHALL_AGREE_LEASE_H
#define FILBERTHALL_AGREE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The one in charge: who may give orders to the platform and the engines and
 * send usage reports. The leader holds this lease; its term is the fencing
 * number.
 *
 * Failure answered: a leader is cut off silently, or stopped and continued,
 * and goes on giving orders while another one does too. Some receivers don't
 * check the fencing number, so the number alone doesn't help: servers would
 * be started, paid for or reported twice.
 *
 * Why it holds, without any promise by voters about time: an answer of a
 * quorum to what the holder sent at `quorum_us` was given before any later
 * leader was elected (one of that quorum had still to vote for it). So the
 * old lease ends at most `duration_us` of the old holder's clock after the
 * new election. The new holder waits that long on its own clock, stretched
 * for two clocks that drift apart, before its first order. An order is given
 * only if its own timeout and a margin for a pause between decision and
 * sending fit into what is left.
 *
 * What it doesn't cover: a process stopped between its last look at the
 * clock and the write() to the socket. The edge looks again right before it
 * (lease_order_deadline), which leaves microseconds; a receiver that checks
 * the fencing number closes even that.
 *
 * An order to the platform takes up to a second, so 5 s of lease leave room
 * for a renewal lost or two. Monotonic clocks of VMs differ by less than
 * 500 ppm.
 */
struct lease_options {
	int64_t duration_us; /**< lease from a confirmed quorum; 5 s */
	int64_t margin_us;   /**< no order may end later than this before
				  the end of the lease; 500 ms */
	int64_t drift_ppm;   /**< bound on any clock's rate error */
};

struct lease {
	struct lease_options options;
	bool held;
	int64_t term;	  /**< fencing number */
	int64_t until_us; /**< holder's clock */
	int64_t first_us; /**< no order before this, holder's clock */
};

/** The defaults above. */
struct lease_options lease_default_options(void);

void lease_init(struct lease *lease, const struct lease_options *options);

/** This VM was elected in `term`: wait out whoever was before. */
void lease_elected(struct lease *lease, int64_t term, int64_t now_us);

/** A quorum answered to what was sent at `quorum_us` in the same term. */
void lease_renew(struct lease *lease, int64_t quorum_us);

/** No longer leader, or about to hand leadership over. */
void lease_lost(struct lease *lease);

/** Whether this VM is in charge now. */
bool lease_valid(const struct lease *lease, int64_t now_us);

/**
 * Whether an order or report that is given up after `timeout_us` may be sent
 * now. Its fencing number is `lease->term`.
 */
bool lease_may_order(const struct lease *lease, int64_t timeout_us,
		     int64_t now_us);

/** Time on the holder's clock by which every order must be over. */
int64_t lease_order_deadline(const struct lease *lease);

/** `us` of one clock, in the worst case on another clock. */
int64_t lease_stretch(int64_t us, int64_t drift_ppm);

#endif
