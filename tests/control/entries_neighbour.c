/* Links between entry VMs, and messages on their way by these. */
#include "entries_state.h"

static struct neighbour_link *link_at(const struct entries *entries, guint i)
{
	return &g_array_index(entries->neighbours, struct neighbour_link, i);
}

static int find_vm(const struct entries *entries, uint64_t id)
{
	int i;

	for (i = 0; i < entries->n_vms; i++)
		if (entries->vms[i].id == id)
			return i;
	return -1;
}

static bool is_between(const struct neighbour_link *link, uint64_t a,
		       uint64_t b)
{
	return (link->entries[0] == a && link->entries[1] == b) ||
	       (link->entries[0] == b && link->entries[1] == a);
}

static struct neighbour_link *find_link(const struct entries *entries,
					uint64_t a, uint64_t b)
{
	guint i;

	for (i = 0; i < entries->neighbours->len; i++)
		if (is_between(link_at(entries, i), a, b))
			return link_at(entries, i);
	return NULL;
}

void entries_open_neighbour(struct entries *entries, int at, uint64_t to)
{
	struct neighbour_link link = { { at, find_vm(entries, to) },
				       { entries->vms[at].id, to },
				       false };

	if (link.vms[1] >= 0 && !find_link(entries, link.entries[0], to))
		g_array_append_val(entries->neighbours, link);
}

static void tell(struct entries *entries, int at, uint64_t other, bool up)
{
	struct event_link_up told = { other, (char *)"vm", (char *)"z1", NULL,
				      true };
	struct entries_vm *vm = &entries->vms[at];
	struct effects effects;

	effects_init(&effects);
	if (up)
		entry_link_up(vm->entry, &told, entries_vm_now(entries, at),
			      &effects);
	else
		entry_link_down(vm->entry, other, entries_vm_now(entries, at),
				&effects);
	entries_carry_out(entries, at, &effects);
}

static void set_up(struct entries *entries, struct neighbour_link link, bool up)
{
	int i;

	find_link(entries, link.entries[0], link.entries[1])->up = up;
	for (i = 0; i < 2; i++)
		if (entries->vms[link.vms[i]].id == link.entries[i])
			tell(entries, link.vms[i], link.entries[!i], up);
}

void entries_close_neighbour(struct entries *entries, int at, uint64_t to)
{
	struct neighbour_link *link =
		find_link(entries, entries->vms[at].id, to);
	guint i;

	if (!link)
		return;
	if (link->up)
		set_up(entries, *link, false);
	for (i = 0; i < entries->neighbours->len; i++)
		if (is_between(link_at(entries, i), entries->vms[at].id, to))
			g_array_remove_index(entries->neighbours, i--);
}

void entries_mail_neighbour(struct entries *entries, int at,
			    const struct effect_send *send)
{
	struct neighbour_link *link =
		find_link(entries, entries->vms[at].id, send->peer);
	struct mail mail = { entries->vms[at].id,
			     send->peer,
			     group_now(entries->group) + GROUP_STEP_US,
			     { 0 } };

	if (!link || !link->up)
		return;
	mail.body = bytes_copy(&send->body);
	g_array_append_val(entries->mails, mail);
}

static bool stands(const struct entries *entries,
		   const struct neighbour_link *link)
{
	const struct entries_vm *a = &entries->vms[link->vms[0]];
	const struct entries_vm *b = &entries->vms[link->vms[1]];

	return a->id == link->entries[0] && b->id == link->entries[1] &&
	       !a->isolated && !b->isolated;
}

static void update_links(struct entries *entries)
{
	guint i;

	for (i = 0; i < entries->neighbours->len; i++) {
		struct neighbour_link link = *link_at(entries, i);

		if (link.up != stands(entries, &link))
			set_up(entries, link, !link.up);
	}
}

static void deliver(struct entries *entries, const struct mail *mail)
{
	struct event_link_message message = { mail->from, LINK_FEED,
					      mail->body };
	int at = find_vm(entries, mail->to);
	struct effects effects;

	if (at < 0 || !find_link(entries, mail->from, mail->to))
		return;
	effects_init(&effects);
	entry_link_message(entries->vms[at].entry, &message,
			   entries_vm_now(entries, at), &effects);
	entries_carry_out(entries, at, &effects);
}

static void deliver_mails(struct entries *entries)
{
	guint i = 0;

	while (i < entries->mails->len) {
		struct mail mail =
			g_array_index(entries->mails, struct mail, i);
		int at = find_vm(entries, mail.to);

		if (mail.at_us > group_now(entries->group) ||
		    (at >= 0 && entries->vms[at].frozen_us)) {
			i++;
			continue;
		}
		g_array_remove_index(entries->mails, i);
		deliver(entries, &mail);
		bytes_clear(&mail.body);
	}
}

void entries_carry_neighbours(struct entries *entries)
{
	update_links(entries);
	deliver_mails(entries);
}

void entries_isolate(struct entries *entries, int vm, bool isolate)
{
	entries_cut(entries, vm, isolate);
	entries->vms[vm].isolated = isolate;
}

void entries_free_neighbours(struct entries *entries)
{
	guint i;

	for (i = 0; i < entries->mails->len; i++)
		bytes_clear(
			&g_array_index(entries->mails, struct mail, i).body);
	g_array_free(entries->mails, true);
	g_array_free(entries->neighbours, true);
}
