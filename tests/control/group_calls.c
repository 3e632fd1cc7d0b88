/*
 * The operator's calls, what entry VMs tell, and the platform's side.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "feed/feed.h"
#include "group_state.h"

struct group *group_founded(group_reader *read)
{
	static const int seeds[] = { 0, 1, 2 };
	struct group *group = group_new(5, seeds, 3, 7);
	int vm;

	if (read)
		group->read_document = read;
	for (vm = 0; vm < 5; vm++)
		group_start(group, vm);
	group_run(group, 10000000);
	g_assert_cmpint(group_leader(group), >=, 0);
	return group;
}

void group_set_lease(struct group *group, int64_t lease_us)
{
	group->lease_us = lease_us;
}

void group_set_forward(struct group *group, int64_t bytes)
{
	group->forward_bytes_max = bytes;
}

void group_note_answer(struct group *group,
		       const struct effect_admin_answer *told)
{
	struct answer answer = { told->id, (int)told->code, NULL };

	answer.body =
		xmemdup(told->body.data ? told->body.data : "", told->body.len);
	g_array_append_val(group->answers, answer);
}

void group_note_call(struct group *group, int vm,
		     const struct effect_platform_call *told)
{
	struct group_call call = { vm, group->now_us, "", "", told->fence };

	g_strlcpy(call.order_id, told->order_id, sizeof(call.order_id));
	g_snprintf(call.body, sizeof(call.body), "%.*s", (int)told->body.len,
		   told->body.data ? told->body.data : "");
	g_array_append_val(group->calls, call);
}

uint64_t group_put_text(struct group *group, int at, int64_t version,
			const struct bytes *text)
{
	struct document *document = NULL;
	struct effects effects;

	if (group->read_document)
		document = group->read_document(NULL, text->data, text->len);
	if (!document)
		document = document_new();
	document->version = version;
	effects_init(&effects);
	control_put_document(group->vms[at].control, ++group->next_call,
			     document, text, group->now_us, &effects);
	group_carry_out(group, at, &effects);
	return group->next_call;
}

uint64_t group_put(struct group *group, int at, int64_t version)
{
	struct bytes text = { 0 };
	uint64_t call;

	bytes_append_format(&text, "document %d", (int)version);
	call = group_put_text(group, at, version, &text);
	bytes_clear(&text);
	return call;
}

uint64_t group_evacuate(struct group *group, int at, const char *zone,
			bool evacuate)
{
	struct effects effects;

	effects_init(&effects);
	control_evacuate(group->vms[at].control, ++group->next_call, zone,
			 evacuate, group->now_us, &effects);
	group_carry_out(group, at, &effects);
	return group->next_call;
}

uint64_t group_get(struct group *group, int at)
{
	struct effects effects;

	effects_init(&effects);
	control_get_document(group->vms[at].control, ++group->next_call,
			     group->now_us, &effects);
	group_carry_out(group, at, &effects);
	return group->next_call;
}

static const struct answer *answer_of(const struct group *group, uint64_t call)
{
	guint i;

	for (i = 0; i < group->answers->len; i++)
		if (g_array_index(group->answers, struct answer, i).call ==
		    call)
			return &g_array_index(group->answers, struct answer, i);
	return NULL;
}

int group_code(struct group *group, uint64_t call)
{
	const struct answer *answer = answer_of(group, call);

	return answer ? answer->code : -1;
}

const char *group_body(struct group *group, uint64_t call)
{
	const struct answer *answer = answer_of(group, call);

	return answer ? answer->body : NULL;
}

/* The entry VM's link to a VM comes up, if it isn't. */
static void entry_link_up(struct group *group, int at)
{
	struct event_link_up up = { group->entry_id, (char *)"entry",
				    (char *)"z1", NULL, true };
	struct effects effects;

	effects_init(&effects);
	control_link_up(group->vms[at].control, &up, group->now_us, &effects);
	group_carry_out(group, at, &effects);
}

void group_begun(struct group *group, int64_t window, int64_t requests)
{
	struct feed_count count = { "yards", requests };
	struct feed_begun begun = { window, &count, 1 };
	struct event_link_message message = { group->entry_id,
					      LINK_FEED,
					      { 0 } };
	struct effects effects;
	int i;

	feed_write_begun(&message.body, &begun);
	for (i = 0; i < group->n_vms; i++) {
		if (!group->vms[i].control)
			continue;
		entry_link_up(group, i);
		effects_init(&effects);
		control_link_message(group->vms[i].control, &message,
				     group->now_us, &effects);
		group_carry_out(group, i, &effects);
	}
	bytes_clear(&message.body);
}

void group_entry_down(struct group *group)
{
	struct effects effects;
	int i;

	for (i = 0; i < group->n_vms; i++) {
		if (!group->vms[i].control)
			continue;
		effects_init(&effects);
		control_link_down(group->vms[i].control, group->entry_id,
				  group->now_us, &effects);
		group_carry_out(group, i, &effects);
	}
}

void group_entry_restart(struct group *group)
{
	int i;

	group_entry_down(group);
	group->entry_id++;
	for (i = 0; i < group->n_vms; i++)
		if (group->vms[i].control)
			entry_link_up(group, i);
}

void group_unregister(struct group *group, int at, const char *id)
{
	struct effects effects;

	effects_init(&effects);
	control_unregister(group->vms[at].control, id, group->now_us, &effects);
	group_carry_out(group, at, &effects);
}

void group_announce(struct group *group, int at,
		    const struct registration *told)
{
	struct effects effects;

	effects_init(&effects);
	control_register(group->vms[at].control, told, group->now_us, &effects);
	group_carry_out(group, at, &effects);
}

void group_register(struct group *group, int at, const char *id,
		    int64_t sequence)
{
	struct registration told = { .started_ms = 100,
				     .sequence = sequence,
				     .slots = 4 };
	uint64_t hash = map_hash_text(id);

	g_strlcpy(told.id, id, sizeof(told.id));
	g_snprintf(told.address, sizeof(told.address), "10.%u.%u.%u:%u",
		   (unsigned int)(hash >> 56), (unsigned int)(hash >> 48 & 255),
		   (unsigned int)(hash >> 40 & 255),
		   (unsigned int)(1024 + hash % 60000));
	g_strlcpy(told.service, "desk", sizeof(told.service));
	g_strlcpy(told.zone, "z1", sizeof(told.zone));
	group_announce(group, at, &told);
}

const struct group_call *group_calls(const struct group *group, int *n)
{
	*n = (int)group->calls->len;
	return (const struct group_call *)(void *)group->calls->data;
}

void group_answer_calls(struct group *group, enum result code)
{
	struct effects effects;
	guint i;

	effects_init(&effects);
	for (i = 0; i < group->calls->len; i++) {
		const struct group_call *call =
			&g_array_index(group->calls, struct group_call, i);
		struct control *control = group->vms[call->vm].control;

		if (!control)
			continue;
		control_platform_answer(control, call->order_id, code,
					group->now_us, &effects);
		group_carry_out(group, call->vm, &effects);
	}
}
