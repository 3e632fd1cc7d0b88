/*
 * Whether control VMs answer this VM's polls. Links that are cut fall silent
 * seconds before they are closed.
 */
#include "entry/entry_state.h"

/* Polls are sent every 400 ms; the answer to one or two may be late. */
#define CONTACT_US INT64_C(1000000)

void entry_note_contact(struct entry *entry, int64_t polled_us)
{
	if (polled_us > entry->contact_us && polled_us <= entry->now_us)
		entry->contact_us = polled_us;
}

int64_t entry_silence_ms(const struct entry *entry)
{
	return entry->contact_us ? (entry->now_us - entry->contact_us) / 1000
				 : -1;
}

bool entry_is_in_contact(const struct entry *entry)
{
	return entry->contact_us &&
	       entry->now_us - entry->contact_us <= CONTACT_US;
}

static void log_change(struct entry *entry, bool in_contact)
{
	int64_t since_us = entry->contact_lost_us;

	if (in_contact)
		entry_log(entry, LOG_INFO, "contact",
			  "event=found control_vms=%zu lost_ms=%lld begun=%lld",
			  entry->peers.count,
			  (long long)(since_us ? (entry->now_us - since_us) /
							 1000
					       : -1),
			  (long long)entry->begun_out_of_contact);
	else
		entry_log(entry, LOG_WARN, "contact",
			  "event=lost control_vms=%zu silent_ms=%lld",
			  entry->peers.count,
			  (long long)entry_silence_ms(entry));
}

void entry_contact_tick(struct entry *entry)
{
	bool in_contact = entry_is_in_contact(entry);

	if (in_contact == entry->was_in_contact)
		return;
	log_change(entry, in_contact);
	entry->was_in_contact = in_contact;
	entry->contact_lost_us = in_contact ? 0 : entry->now_us;
	entry->begun_out_of_contact = 0;
}
