/* Messages between entry VMs and control VMs, on their way. */
#include "entries_state.h"
#include "feed/feed.h"

static void count_part(struct entries *entries, const struct bytes *body)
{
	struct feed_message message;

	if (!feed_read(&message, body->data, body->len))
		return;
	if (message.kind == FEED_PART)
		entries->part_bytes += (int64_t)body->len;
	feed_clear(&message);
}

void entries_take_letter(void *data, int from, const struct effect_send *send)
{
	struct entries *entries = data;
	int i;

	for (i = 0; i < entries->n_vms; i++) {
		const struct entries_vm *vm = &entries->vms[i];
		struct letter letter = { i, vm->id, from, 0, { 0 } };

		if (vm->id != send->peer || !vm->linked[from])
			continue;
		letter.at_us =
			group_now(entries->group) + GROUP_STEP_US + vm->slow_us;
		letter.body = bytes_copy(&send->body);
		count_part(entries, &send->body);
		g_array_append_val(entries->posts, letter);
	}
}

static void deliver(struct entries *entries, const struct letter *letter)
{
	struct entries_vm *vm = &entries->vms[letter->vm];
	struct event_link_message message = { (uint64_t)letter->from + 1,
					      LINK_FEED, letter->body };
	struct effects effects;

	if (vm->id != letter->entry || !vm->linked[letter->from])
		return;
	effects_init(&effects);
	entry_link_message(vm->entry, &message,
			   entries_vm_now(entries, letter->vm), &effects);
	entries_carry_out(entries, letter->vm, &effects);
}

void entries_deliver(struct entries *entries)
{
	guint i = 0;

	while (i < entries->posts->len) {
		struct letter letter =
			g_array_index(entries->posts, struct letter, i);

		if (letter.at_us > group_now(entries->group) ||
		    entries->vms[letter.vm].frozen_us) {
			i++;
			continue;
		}
		g_array_remove_index(entries->posts, i);
		deliver(entries, &letter);
		bytes_clear(&letter.body);
	}
}

void entries_send_news(struct entries *entries, int at,
		       const struct effect_send *send)
{
	const struct entries_vm *vm = &entries->vms[at];
	struct letter letter = { at,
				 vm->id,
				 (int)send->peer - 1,
				 group_now(entries->group) + vm->slow_news_us,
				 { 0 } };

	count_part(entries, &send->body);
	if (vm->slow_news_us) {
		letter.body = bytes_copy(&send->body);
		g_array_append_val(entries->news, letter);
	} else {
		group_entry_message(entries->group, letter.from, vm->id,
				    &send->body);
	}
}

/* Also those of a process that has ended since. */
void entries_deliver_news(struct entries *entries)
{
	guint i = 0;

	while (i < entries->news->len) {
		struct letter letter =
			g_array_index(entries->news, struct letter, i);

		if (letter.at_us > group_now(entries->group)) {
			i++;
			continue;
		}
		g_array_remove_index(entries->news, i);
		if (entries->vms[letter.vm].linked[letter.from])
			group_entry_message(entries->group, letter.from,
					    letter.entry, &letter.body);
		bytes_clear(&letter.body);
	}
}
