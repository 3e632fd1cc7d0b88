#include "agree/lease.h"

#define LEASE_DURATION_US 5000000
#define LEASE_MARGIN_US 500000
#define LEASE_DRIFT_PPM 10000
#define LEASE_MILLION 1000000

struct lease_options lease_default_options(void)
{
	struct lease_options options = {
		.duration_us = LEASE_DURATION_US,
		.margin_us = LEASE_MARGIN_US,
		.drift_ppm = LEASE_DRIFT_PPM,
	};

	return options;
}

int64_t lease_add_drift(int64_t us, int64_t drift_ppm)
{
	/*
	 * One clock may be fast by drift_ppm and the other slow by as much. The
	 * result is rounded up so that it is never too short.
	 */
	return (us * (LEASE_MILLION + drift_ppm)) /
		       (LEASE_MILLION - drift_ppm) +
	       1;
}

void lease_init(struct lease *lease, const struct lease_options *options)
{
	struct lease fresh = { .options = *options };

	*lease = fresh;
}

void lease_elected(struct lease *lease, int64_t term, int64_t now_us)
{
	lease->held = true;
	lease->term = term;
	lease->expires_us = now_us;
	/*
	 * The previous leader may still hold its lease and have orders in
	 * progress, even if it transferred leadership itself.
	 */
	lease->first_order_us =
		now_us + lease_add_drift(lease->options.duration_us,
					 lease->options.drift_ppm);
}

void lease_renew(struct lease *lease, int64_t quorum_us)
{
	int64_t until_us = quorum_us + lease->options.duration_us;

	if (lease->held && until_us > lease->expires_us)
		lease->expires_us = until_us;
}

void lease_end(struct lease *lease)
{
	lease->held = false;
}

bool lease_valid(const struct lease *lease, int64_t now_us)
{
	return lease->held && now_us >= lease->first_order_us &&
	       now_us < lease->expires_us;
}

bool lease_may_order(const struct lease *lease, int64_t timeout_us,
		     int64_t now_us)
{
	return lease_valid(lease, now_us) &&
	       now_us + timeout_us <= lease_order_deadline(lease);
}

int64_t lease_order_deadline(const struct lease *lease)
{
	return lease->expires_us - lease->options.margin_us;
}
