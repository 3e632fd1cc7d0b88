/*
 * Requests that get nothing for want of a free slot, counted over all VMs; see
 * load/unserved.h.
 */
#include "entry/entry_state.h"

/* Outcomes are told so soon if some got nothing, and else more rarely. */
#define TELL_US INT64_C(200000)
#define TELL_WELL_US INT64_C(1600000)

static void tell(void *data, const char *service,
		 const struct unserved_count *counts)
{
	struct bytes body = { 0 };

	feed_write_unserved(&body, service, counts);
	entry_send_all(data, &body);
}

void entry_tell_unserved(struct entry *entry)
{
	int64_t since_us = entry->now_us - entry->unserved_told_us;

	if (since_us < TELL_US ||
	    (since_us < TELL_WELL_US && !router_has_unserved(entry->router)))
		return;
	entry->unserved_told_us = entry->now_us;
	router_take_unserved(entry->router, tell, entry);
}

void entry_handle_short(struct entry *entry, const struct feed_short *told)
{
	router_tier_short(entry->router, told->service, told->tier, told->part,
			  entry->now_us);
	entry_log(entry, LOG_INFO, "load",
		  "event=short service=%s tier=%d part=%.3f", told->service,
		  told->tier, told->part);
}
