#include "group.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "group_state.h"

static uint64_t life_of(const struct vm *vm)
{
	return vm->id * 1000 + (uint64_t)vm->incarnation;
}

static int vm_by_id(const struct group *group, uint64_t id)
{
	int i;

	for (i = 0; i < group->n_vms; i++)
		if (group->vms[i].id == id && group->vms[i].control)
			return i;
	return -1;
}

static int vm_by_address(const struct group *group, const char *address)
{
	int i;

	for (i = 0; i < group->n_vms; i++)
		if (!strcmp(group->vms[i].address, address))
			return i;
	return -1;
}

static void post_after(struct group *group, int to, int64_t slow_us,
		       struct event *event)
{
	struct post *item = xcalloc(1, sizeof(*item));
	struct post **at = &group->posts;

	item->to = to;
	item->at_us = group->now_us + GROUP_STEP_US + slow_us;
	item->life = life_of(&group->vms[to]);
	item->event = event;
	while (*at)
		at = &(*at)->next;
	*at = item;
}

static void post(struct group *group, int to, struct event *event)
{
	post_after(group, to, 0, event);
}

static struct raft_persistent_state
disk_copy(const struct raft_persistent_state *disk)
{
	struct raft_persistent_state copy = *disk;
	size_t i;

	copy.snapshot = bytes_copy(&disk->snapshot);
	copy.entries = xcalloc(disk->n_entries + 1, sizeof(*copy.entries));
	for (i = 0; i < disk->n_entries; i++) {
		copy.entries[i] = disk->entries[i];
		copy.entries[i].body = bytes_copy(&disk->entries[i].body);
	}
	return copy;
}

static void send_message(struct group *group, int from,
			 const struct effect_send *send)
{
	int to = vm_by_id(group, send->peer);
	struct event *event;

	if (send->peer >= GROUP_ENTRY_ID && group->sink)
		group->sink(group->sink_data, from, send);
	else if (send->peer >= GROUP_ENTRY_ID)
		group_note_to_entry(&group->vms[from], send);
	if (to < 0 || !group->vms[from].linked[to] || group->mute[from][to])
		return;
	event = event_new(EVENT_LINK_MESSAGE);
	event->u.link_message.peer = group->vms[from].id;
	event->u.link_message.channel = send->channel;
	event->u.link_message.body = bytes_copy(&send->body);
	group->sent_bytes[from][to] += (int64_t)send->body.len;
	post_after(group, to, group->slow_us[from][to], event);
}

static void start_reading(struct group *group, int at,
			  const struct effect_read_document *ask)
{
	struct vm *vm = &group->vms[at];
	struct document *document;

	document = group->read_document(NULL, ask->text.data, ask->text.len);
	document_free(vm->read);
	vm->read = document;
	vm->read_version = ask->version;
	vm->read_us = group->now_us + group->reading_us;
}

static void end_reading(struct group *group, int at)
{
	struct vm *vm = &group->vms[at];
	struct document *document = vm->read;
	struct effects effects;

	if (!document || vm->frozen || group->now_us < vm->read_us)
		return;
	vm->read = NULL;
	if (!vm->control) {
		document_free(document);
		return;
	}
	effects_init(&effects);
	control_document_read(vm->control, vm->read_version, document,
			      group->now_us, &effects);
	group_carry_out(group, at, &effects);
}

void group_reading_takes(struct group *group, int64_t us)
{
	group->reading_us = us;
}

void group_carry_out(struct group *group, int at, struct effects *effects)
{
	struct vm *vm = &group->vms[at];
	struct effect *effect;
	struct event *event;
	int to;

	while ((effect = effects_take(effects))) {
		switch (effect->kind) {
		case EFFECT_SEND:
			send_message(group, at, &effect->u.send);
			break;
		case EFFECT_LINK_OPEN:
			to = vm_by_address(group, effect->u.link_open.address);
			if (to >= 0)
				vm->wants[to] = true;
			break;
		case EFFECT_LOG_APPEND:
		case EFFECT_LOG_TRUNCATE:
		case EFFECT_HARD_STATE:
		case EFFECT_SNAPSHOT:
			saved_apply(&vm->disk, effect);
			break;
		case EFFECT_LOG_SYNC:
			event = event_new(vm->disk_fails ? EVENT_DISK_FAILED
							 : EVENT_DISK_SYNCED);
			if (vm->disk_fails)
				event->u.disk_failed.code = RESULT_DISK_FULL;
			else
				event->u.synced.ticket =
					effect->u.log_sync.ticket;
			post(group, at, event);
			break;
		case EFFECT_LOG:
			g_ptr_array_add(vm->log,
					g_strdup(effect->u.log.message));
			break;
		case EFFECT_ADMIN_ANSWER:
			group_note_answer(group, &effect->u.admin_answer);
			break;
		case EFFECT_READ_DOCUMENT:
			start_reading(group, at, &effect->u.read_document);
			break;
		case EFFECT_PLATFORM_CALL:
			group_note_call(group, at, &effect->u.platform_call);
			break;
		default:
			break;
		}
		effect_free(effect);
	}
}

static bool may_link(const struct group *group, int a, int b)
{
	const struct vm *x = &group->vms[a];
	const struct vm *y = &group->vms[b];
	bool asked = x->wants[b] || y->wants[a] || group->is_seed[a] ||
		     group->is_seed[b];

	return a != b && x->control && y->control && !group->cut[a][b] && asked;
}

static void set_link(struct group *group, int a, int b, bool up)
{
	struct event *event;

	group->vms[a].linked[b] = up;
	if (!group->vms[a].control)
		return;
	if (up) {
		event = event_new(EVENT_LINK_UP);
		event->u.link_up.peer = group->vms[b].id;
		event->u.link_up.name = xstrdup(group->vms[b].name);
		event->u.link_up.zone = xstrdup("z1");
	} else {
		event = event_new(EVENT_LINK_DOWN);
		event->u.link_down.peer = group->vms[b].id;
	}
	post(group, a, event);
}

static void update_links(struct group *group)
{
	int a;
	int b;

	for (a = 0; a < group->n_vms; a++)
		for (b = 0; b < group->n_vms; b++)
			if (may_link(group, a, b) != group->vms[a].linked[b])
				set_link(group, a, b, !group->vms[a].linked[b]);
}

static void deliver(struct group *group, struct post *item)
{
	struct vm *vm = &group->vms[item->to];
	struct control *control = vm->control;
	struct event *event = item->event;
	int64_t now_us = group->now_us;
	struct effects effects;

	effects_init(&effects);
	if (control && item->life == life_of(vm)) {
		if (event->kind == EVENT_LINK_UP)
			control_link_up(control, &event->u.link_up, now_us,
					&effects);
		else if (event->kind == EVENT_LINK_DOWN)
			control_link_down(control, event->u.link_down.peer,
					  now_us, &effects);
		else if (event->kind == EVENT_LINK_MESSAGE)
			control_link_message(control, &event->u.link_message,
					     now_us, &effects);
		else if (event->kind == EVENT_DISK_SYNCED)
			control_synced(control, event->u.synced.ticket, now_us,
				       &effects);
		else if (event->kind == EVENT_DISK_FAILED)
			control_disk_failed(control, RESULT_DISK_FULL, now_us,
					    &effects);
		group_carry_out(group, item->to, &effects);
	}
	event_free(event);
	free(item);
}

/* What is for a VM that stands still waits for it. */
static void deliver_all(struct group *group)
{
	struct post **at = &group->posts;
	struct post *item;

	while ((item = *at)) {
		if (item->at_us > group->now_us ||
		    group->vms[item->to].frozen) {
			at = &item->next;
			continue;
		}
		*at = item->next;
		deliver(group, item);
	}
}

static void tick(struct group *group, int at)
{
	struct vm *vm = &group->vms[at];
	struct effects effects;

	if (!vm->control || vm->frozen || group->now_us < vm->tick_us)
		return;
	effects_init(&effects);
	control_tick(vm->control,
		     GROUP_WALL_US + group->now_us + vm->wall_off_us,
		     group->now_us, &effects);
	vm->tick_us = control_next_tick(vm->control, group->now_us);
	group_carry_out(group, at, &effects);
}

void group_run(struct group *group, int64_t us)
{
	int64_t until_us = group->now_us + us;
	int i;

	while (group->now_us < until_us) {
		group->now_us += GROUP_STEP_US;
		update_links(group);
		deliver_all(group);
		for (i = 0; i < group->n_vms; i++) {
			end_reading(group, i);
			tick(group, i);
		}
	}
}

uint64_t group_start_number(const struct group *group, int at)
{
	const struct vm *vm = &group->vms[at];

	return vm->control ? life_of(vm) : 0;
}

int64_t group_now(const struct group *group)
{
	return group->now_us;
}

static struct document *read_document(void *data, const char *text, size_t len)
{
	return document_new();
}

void group_start(struct group *group, int at)
{
	struct vm *vm = &group->vms[at];
	struct raft_persistent_state saved = disk_copy(&vm->disk);
	struct control_options options = {
		.retry_window_us = 10000000,
		.vm = vm->name,
		.zone = "z1",
		.address = vm->address,
		.voters = 5,
		.tolerate = 2,
		.lease_us = group->lease_us,
		.election_us = 300000,
		.window_us = 5000000,
		.due_us = 10000000,
		.report = true,
		.forward_bytes_max = group->forward_bytes_max,
	};
	struct effects effects;

	if (!vm->id)
		vm->id = ++group->next_id;
	options.self = vm->id;
	options.incarnation = ++vm->incarnation;
	options.seed = group->seed + (uint64_t)at * 77;
	options.found = at == 0 && !group->now_us;
	memset(vm->wants, 0, sizeof(vm->wants));
	vm->frozen = false;
	vm->disk_fails = false;
	vm->tick_us = group->now_us;
	effects_init(&effects);
	g_assert_cmpint(control_new(&vm->control, &options, &saved,
				    group->now_us, &effects),
			==, RESULT_OK);
	raft_persistent_state_clear(&saved);
	group_carry_out(group, at, &effects);
}

void group_kill(struct group *group, int at)
{
	int i;

	control_free(group->vms[at].control);
	group->vms[at].control = NULL;
	for (i = 0; i < group->n_vms; i++)
		group->vms[at].linked[i] = false;
}

void group_kill_all(struct group *group)
{
	int at;

	for (at = 0; at < group->n_vms; at++)
		group_kill(group, at);
}

void group_start_all(struct group *group)
{
	int at;

	for (at = 0; at < group->n_vms; at++)
		group_start(group, at);
}

void group_wipe(struct group *group, int at)
{
	struct vm *vm = &group->vms[at];

	if (vm->control)
		group_kill(group, at);
	raft_persistent_state_clear(&vm->disk);
	vm->id = 0;
	vm->incarnation = 0;
}

void group_cut(struct group *group, int a, int b, bool cut)
{
	group->cut[a][b] = cut;
	group->cut[b][a] = cut;
}

int group_logged(const struct group *group, int at, const char *text)
{
	const GPtrArray *log = group->vms[at].log;
	int n = 0;
	guint i;

	for (i = 0; i < log->len; i++)
		n += strstr(g_ptr_array_index(log, i), text) != NULL;
	return n;
}

void group_mute(struct group *group, int from, int to, bool mute)
{
	group->mute[from][to] = mute;
}

void group_slow(struct group *group, int from, int to, int64_t us)
{
	group->slow_us[from][to] = us;
}

int64_t group_sent_bytes(const struct group *group, int from, int to)
{
	return group->sent_bytes[from][to];
}

void group_freeze(struct group *group, int at, bool freeze)
{
	bool was = group->vms[at].frozen;

	group->vms[at].frozen = freeze;
	/* The worst order: it acts before it hears what it has missed. */
	if (was && !freeze)
		tick(group, at);
}

void group_fail_disk(struct group *group, int at)
{
	group->vms[at].disk_fails = true;
}

void group_step_wall(struct group *group, int at, int64_t us)
{
	group->vms[at].wall_off_us = us;
}

struct group *group_new(int n_vms, const int *seeds, int n_seeds, uint64_t seed)
{
	struct group *group = xcalloc(1, sizeof(*group));
	int i;

	group->n_vms = n_vms;
	group->seed = seed;
	group->entry_id = GROUP_ENTRY_ID;
	group->lease_us = 3000000;
	group->read_document = read_document;
	group->answers = g_array_new(false, true, sizeof(struct answer));
	group->calls = g_array_new(false, true, sizeof(struct group_call));
	for (i = 0; i < n_seeds; i++)
		group->is_seed[seeds[i]] = true;
	for (i = 0; i < n_vms; i++) {
		struct vm *vm = &group->vms[i];

		g_snprintf(vm->name, sizeof(vm->name), "vm-%d", i);
		g_snprintf(vm->address, sizeof(vm->address), "10.0.0.%d:7000",
			   i + 1);
		vm->log = g_ptr_array_new_with_free_func(g_free);
	}
	return group;
}

void group_free(struct group *group)
{
	struct post *item;
	guint at;
	int i;

	while ((item = group->posts)) {
		group->posts = item->next;
		event_free(item->event);
		free(item);
	}
	for (i = 0; i < group->n_vms; i++) {
		control_free(group->vms[i].control);
		document_free(group->vms[i].read);
		bytes_clear(&group->vms[i].fetched);
		g_ptr_array_free(group->vms[i].log, TRUE);
		raft_persistent_state_clear(&group->vms[i].disk);
	}
	for (at = 0; at < group->answers->len; at++)
		free(g_array_index(group->answers, struct answer, at).body);
	g_array_free(group->answers, true);
	g_array_free(group->calls, true);
	free(group);
}

struct control_view group_view(struct group *group, int at)
{
	struct control_view none = { 0 };

	if (!group->vms[at].control)
		return none;
	return control_view(group->vms[at].control, group->now_us);
}

int group_leader(struct group *group)
{
	int found = -1;
	int i;

	for (i = 0; i < group->n_vms; i++) {
		if (!group_view(group, i).leader)
			continue;
		if (found >= 0)
			return -1;
		found = i;
	}
	return found;
}
