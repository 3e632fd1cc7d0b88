#include "core/event.h"

#include <stdlib.h>

#include "base/alloc.h"

#define EVENT_FIELD(member, name, type)                                    \
	{                                                                  \
#name, FIELD_##type, offsetof(struct event, u.member.name) \
	}

static const struct field event_tick_fields[] = {
	EVENT_FIELD(tick, wall_us, INT),
};

static const struct field event_request_fields[] = {
	EVENT_FIELD(request, id, UINT),
	EVENT_FIELD(request, kind, INT),
	EVENT_FIELD(request, trace, TEXT),
	EVENT_FIELD(request, key_hash, TEXT),
	EVENT_FIELD(request, class_name, TEXT),
	EVENT_FIELD(request, model, TEXT),
	EVENT_FIELD(request, adapter, TEXT),
	EVENT_FIELD(request, service, TEXT),
	EVENT_FIELD(request, method, TEXT),
	EVENT_FIELD(request, path, TEXT),
	EVENT_FIELD(request, idempotency_key, TEXT),
	EVENT_FIELD(request, body_hash, TEXT),
	EVENT_FIELD(request, prefix_hash, UINT),
	EVENT_FIELD(request, prompt_tokens, INT),
	EVENT_FIELD(request, max_tokens, INT),
	EVENT_FIELD(request, deadline_ms, INT),
	EVENT_FIELD(request, stream, BOOL),
};

static const struct field event_caller_left_fields[] = {
	EVENT_FIELD(caller_left, id, UINT),
};

static const struct field event_sent_fields[] = {
	EVENT_FIELD(sent, id, UINT),
	EVENT_FIELD(sent, attempt, INT),
};

static const struct field event_tokens_fields[] = {
	EVENT_FIELD(tokens, id, UINT),
	EVENT_FIELD(tokens, attempt, INT),
	EVENT_FIELD(tokens, tokens, INT),
	EVENT_FIELD(tokens, first, BOOL),
};

static const struct field event_ended_fields[] = {
	EVENT_FIELD(ended, id, UINT),
	EVENT_FIELD(ended, attempt, INT),
	EVENT_FIELD(ended, code, INT),
	EVENT_FIELD(ended, http_status, INT),
	EVENT_FIELD(ended, tokens, INT),
	EVENT_FIELD(ended, prompt_tokens, INT),
	EVENT_FIELD(ended, sent, BOOL),
	EVENT_FIELD(ended, cached, BOOL),
	EVENT_FIELD(ended, content_type, TEXT),
	EVENT_FIELD(ended, answer, BYTES),
};

static const struct field event_announce_fields[] = {
	EVENT_FIELD(announce, address, TEXT),
	EVENT_FIELD(announce, boot_id, TEXT),
	EVENT_FIELD(announce, sequence, INT),
	EVENT_FIELD(announce, zone, TEXT),
	EVENT_FIELD(announce, service, TEXT),
	EVENT_FIELD(announce, model, TEXT),
	EVENT_FIELD(announce, adapters, TEXT),
	EVENT_FIELD(announce, version, TEXT),
	EVENT_FIELD(announce, role, TEXT),
	EVENT_FIELD(announce, cheap, BOOL),
	EVENT_FIELD(announce, leaving, BOOL),
	EVENT_FIELD(announce, fences, BOOL),
	EVENT_FIELD(announce, lease_ms, INT),
	EVENT_FIELD(announce, slots, INT),
	EVENT_FIELD(announce, running, INT),
	EVENT_FIELD(announce, queued, INT),
	EVENT_FIELD(announce, queued_prompt_tokens, INT),
	EVENT_FIELD(announce, kv_tokens, INT),
	EVENT_FIELD(announce, kv_used, INT),
	EVENT_FIELD(announce, prefill_rate, REAL),
	EVENT_FIELD(announce, decode_rate, REAL),
	EVENT_FIELD(announce, age_ms, INT),
};

static const struct field event_cache_fields[] = {
	EVENT_FIELD(cache, address, TEXT),
	EVENT_FIELD(cache, boot_id, TEXT),
	EVENT_FIELD(cache, prefix_hash, UINT),
	EVENT_FIELD(cache, held, BOOL),
};

static const struct field event_link_up_fields[] = {
	EVENT_FIELD(link_up, peer, UINT),
	EVENT_FIELD(link_up, name, TEXT),
	EVENT_FIELD(link_up, zone, TEXT),
	EVENT_FIELD(link_up, address, TEXT),
	EVENT_FIELD(link_up, observer, BOOL),
};

static const struct field event_link_down_fields[] = {
	EVENT_FIELD(link_down, peer, UINT),
};

static const struct field event_link_message_fields[] = {
	EVENT_FIELD(link_message, peer, UINT),
	EVENT_FIELD(link_message, channel, INT),
	EVENT_FIELD(link_message, body, BYTES),
};

static const struct field event_synced_fields[] = {
	EVENT_FIELD(synced, ticket, INT),
};

static const struct field event_disk_failed_fields[] = {
	EVENT_FIELD(disk_failed, code, INT),
};

static const struct field event_admin_fields[] = {
	EVENT_FIELD(admin, id, UINT),
	EVENT_FIELD(admin, key_hash, TEXT),
	EVENT_FIELD(admin, command, TEXT),
	EVENT_FIELD(admin, body, BYTES),
};

static const struct field event_platform_fields[] = {
	EVENT_FIELD(platform, order_id, TEXT),
	EVENT_FIELD(platform, code, INT),
	EVENT_FIELD(platform, body, BYTES),
};

static const struct field event_stop_fields[] = {
	EVENT_FIELD(stop, grace_ms, INT),
};

struct event_row {
	const char *name;
	const struct field *fields;
	size_t n_fields;
};

static const struct event_row event_rows[] = {
#define EVENT_ROW(kind, member, text)                        \
	[EVENT_##kind] = { text, event_##member##_fields,    \
			   sizeof(event_##member##_fields) / \
				   sizeof(struct field) },
	EVENT_TABLE(EVENT_ROW)
#undef EVENT_ROW
};

const char *event_name(enum event_kind kind)
{
	return event_rows[kind].name;
}

const struct field *event_fields(enum event_kind kind, size_t *n)
{
	*n = event_rows[kind].n_fields;
	return event_rows[kind].fields;
}

void event_free(struct event *event)
{
	size_t n;
	const struct field *fields;

	if (!event)
		return;
	fields = event_fields(event->kind, &n);
	field_clear(fields, n, event);
	free(event);
}

struct event *event_new(enum event_kind kind)
{
	struct event *event = xcalloc(1, sizeof(*event));

	list_init(&event->node);
	event->kind = kind;
	return event;
}
