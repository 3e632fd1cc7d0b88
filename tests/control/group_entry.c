/*
 * The one entry VM that most tests have: what it asks and tells, and what it is
 * sent. Others have a sink for what is sent to entry VMs.
 */
#include <stdlib.h>

#include "base/compression.h"
#include "feed/feed.h"
#include "group_state.h"

static int count_bundle(const struct feed_bundle *bundle)
{
	struct bytes list = { 0 };
	struct feed_message message;
	const char *data;
	const char *one;
	size_t one_len;
	size_t len;
	int n = 0;

	g_assert_true(compression_unpack(&list, bundle->bytes, bundle->len,
					 bundle->unpacked));
	data = list.data;
	len = list.len;
	while (feed_bundle_next(&data, &len, &one, &one_len)) {
		g_assert_true(feed_read(&message, one, one_len));
		n += message.kind == FEED_REGISTRATION;
		feed_clear(&message);
	}
	g_assert_cmpuint(len, ==, 0);
	bytes_clear(&list);
	return n;
}

void group_note_to_entry(struct vm *vm, const struct effect_send *send)
{
	struct feed_message message;

	vm->entry_bytes += (int64_t)send->body.len;
	if (!feed_read(&message, send->body.data, send->body.len))
		return;
	if (message.kind == FEED_DOCUMENT) {
		bytes_clear(&vm->fetched);
		vm->fetched = bytes_copy(&send->body);
	}
	if (message.kind == FEED_EVACUATIONS)
		vm->told_evacuations = message.u.evacuations.revision;
	vm->entry_names += (int)message.n_alive;
	vm->entry_messages++;
	vm->entry_servers += message.kind == FEED_REGISTRATION;
	if (message.kind == FEED_BUNDLE)
		vm->entry_servers += count_bundle(&message.u.bundle);
	feed_clear(&message);
}

struct bytes group_fetch(struct group *group, int at, bool packed)
{
	struct event_link_up up = { GROUP_ENTRY_ID, (char *)"entry",
				    (char *)"z1", NULL, true };
	struct event_link_message message = { GROUP_ENTRY_ID,
					      LINK_FEED,
					      { 0 } };
	struct feed_fetch fetch = { packed };
	struct bytes answer = { 0 };
	struct effect *effect;
	struct effects effects;

	effects_init(&effects);
	feed_write_fetch(&message.body, &fetch);
	control_link_up(group->vms[at].control, &up, group->now_us, &effects);
	effects_clear(&effects);
	control_link_message(group->vms[at].control, &message, group->now_us,
			     &effects);
	bytes_clear(&message.body);
	while ((effect = effects_take(&effects))) {
		if (effect->kind == EFFECT_SEND &&
		    effect->u.send.peer == GROUP_ENTRY_ID && !answer.len)
			answer = bytes_copy(&effect->u.send.body);
		effect_free(effect);
	}
	return answer;
}

static void poll_as(struct group *group, int at, uint64_t id, bool marks)
{
	struct event_link_up up = { id, (char *)"entry", (char *)"z1", NULL,
				    true };
	struct event_link_message message = { id, LINK_FEED, { 0 } };
	struct feed_poll poll = { .sent_us = group->now_us, .marks = marks };
	struct control *control = group->vms[at].control;
	struct effects effects;

	effects_init(&effects);
	feed_write_poll(&message.body, &poll);
	control_link_up(control, &up, group->now_us, &effects);
	control_link_message(control, &message, group->now_us, &effects);
	bytes_clear(&message.body);
	group_carry_out(group, at, &effects);
}

void group_poll(struct group *group, int at, bool marks)
{
	poll_as(group, at, GROUP_ENTRY_ID, marks);
}

void group_poll_nth(struct group *group, int at, int nth)
{
	poll_as(group, at, GROUP_ENTRY_ID + (uint64_t)nth, true);
}

int64_t group_told_evacuations(const struct group *group, int at)
{
	return group->vms[at].told_evacuations;
}

int64_t group_entry_bytes(const struct group *group, int at)
{
	return group->vms[at].entry_bytes;
}

int group_entry_names(const struct group *group, int at)
{
	return group->vms[at].entry_names;
}

int group_entry_messages(const struct group *group, int at)
{
	return group->vms[at].entry_messages;
}

int group_entry_servers(const struct group *group, int at)
{
	return group->vms[at].entry_servers;
}

struct bytes group_fetched(struct group *group, int at)
{
	return bytes_copy(&group->vms[at].fetched);
}

void group_set_sink(struct group *group, group_sink *sink, void *data)
{
	group->sink = sink;
	group->sink_data = data;
}

void group_entry_link(struct group *group, int at, uint64_t entry,
		      const char *name, bool up)
{
	struct event_link_up told = { entry, (char *)name, NULL, NULL, true };
	struct control *control = group->vms[at].control;
	struct effects effects;
	char links[32];
	char zone[8];

	if (!control)
		return;
	g_snprintf(zone, sizeof(zone), "z%d", (int)(entry % GROUP_ZONES) + 1);
	told.zone = zone;
	g_snprintf(links, sizeof(links), "10.8.0.1:%llu",
		   (unsigned long long)entry);
	told.address = links;
	effects_init(&effects);
	if (up)
		control_link_up(control, &told, group->now_us, &effects);
	else
		control_link_down(control, entry, group->now_us, &effects);
	group_carry_out(group, at, &effects);
}

void group_entry_message(struct group *group, int at, uint64_t entry,
			 const struct bytes *body)
{
	struct event_link_message message = { entry, LINK_FEED, *body };
	struct control *control = group->vms[at].control;
	struct effects effects;

	if (!control || group->vms[at].frozen)
		return;
	effects_init(&effects);
	control_link_message(control, &message, group->now_us, &effects);
	group_carry_out(group, at, &effects);
}
