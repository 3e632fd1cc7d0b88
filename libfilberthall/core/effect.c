#include "core/effect.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/alloc.h"

#define EFFECT_FIELD(member, name, type)                                    \
	{                                                                   \
#name, FIELD_##type, offsetof(struct effect, u.member.name) \
	}

static const struct field effect_answer_fields[] = {
	EFFECT_FIELD(answer, id, UINT),
	EFFECT_FIELD(answer, code, INT),
	EFFECT_FIELD(answer, run, INT),
	EFFECT_FIELD(answer, retry_after_ms, INT),
	EFFECT_FIELD(answer, message, TEXT),
	EFFECT_FIELD(answer, http_status, INT),
	EFFECT_FIELD(answer, content_type, TEXT),
	EFFECT_FIELD(answer, body, BYTES),
};

static const struct field effect_start_fields[] = {
	EFFECT_FIELD(start, id, UINT),
	EFFECT_FIELD(start, attempt, INT),
	EFFECT_FIELD(start, address, TEXT),
	EFFECT_FIELD(start, trace, TEXT),
	EFFECT_FIELD(start, priority, INT),
	EFFECT_FIELD(start, connect_ms, INT),
	EFFECT_FIELD(start, first_byte_ms, INT),
	EFFECT_FIELD(start, idle_ms, INT),
	EFFECT_FIELD(start, resume_tokens, INT),
	EFFECT_FIELD(start, proven, BOOL),
	EFFECT_FIELD(start, to_vm, BOOL),
	EFFECT_FIELD(start, keep_answer, BOOL),
	EFFECT_FIELD(start, keep_limit, INT),
};

static const struct field effect_cancel_fields[] = {
	EFFECT_FIELD(cancel, id, UINT),
	EFFECT_FIELD(cancel, attempt, INT),
};

static const struct field effect_distrust_fields[] = {
	EFFECT_FIELD(distrust, address, TEXT),
};

static const struct field effect_probe_fields[] = {
	EFFECT_FIELD(probe, address, TEXT),
};

static const struct field effect_send_fields[] = {
	EFFECT_FIELD(send, peer, UINT),
	EFFECT_FIELD(send, channel, INT),
	EFFECT_FIELD(send, body, BYTES),
};

static const struct field effect_link_open_fields[] = {
	EFFECT_FIELD(link_open, peer, UINT),
	EFFECT_FIELD(link_open, name, TEXT),
	EFFECT_FIELD(link_open, address, TEXT),
	EFFECT_FIELD(link_open, zone, TEXT),
};

static const struct field effect_link_close_fields[] = {
	EFFECT_FIELD(link_close, peer, UINT),
};

static const struct field effect_log_append_fields[] = {
	EFFECT_FIELD(log_append, index, INT),
	EFFECT_FIELD(log_append, term, INT),
	EFFECT_FIELD(log_append, body, BYTES),
};

static const struct field effect_log_truncate_fields[] = {
	EFFECT_FIELD(log_truncate, index, INT),
};

static const struct field effect_hard_state_fields[] = {
	EFFECT_FIELD(hard_state, term, INT),
	EFFECT_FIELD(hard_state, vote, UINT),
};

static const struct field effect_snapshot_fields[] = {
	EFFECT_FIELD(snapshot, index, INT),
	EFFECT_FIELD(snapshot, term, INT),
	EFFECT_FIELD(snapshot, body, BYTES),
};

static const struct field effect_log_sync_fields[] = {
	EFFECT_FIELD(log_sync, ticket, INT),
};

static const struct field effect_admin_answer_fields[] = {
	EFFECT_FIELD(admin_answer, id, UINT),
	EFFECT_FIELD(admin_answer, code, INT),
	EFFECT_FIELD(admin_answer, body, BYTES),
};

static const struct field effect_read_document_fields[] = {
	EFFECT_FIELD(read_document, version, INT),
	EFFECT_FIELD(read_document, text, BYTES),
};

static const struct field effect_platform_call_fields[] = {
	EFFECT_FIELD(platform_call, order_id, TEXT),
	EFFECT_FIELD(platform_call, verb, TEXT),
	EFFECT_FIELD(platform_call, fence, INT),
	EFFECT_FIELD(platform_call, timeout_ms, INT),
	EFFECT_FIELD(platform_call, until_us, INT),
	EFFECT_FIELD(platform_call, body, BYTES),
};

static const struct field effect_engine_order_fields[] = {
	EFFECT_FIELD(engine_order, order_id, TEXT),
	EFFECT_FIELD(engine_order, address, TEXT),
	EFFECT_FIELD(engine_order, verb, TEXT),
	EFFECT_FIELD(engine_order, fence, INT),
	EFFECT_FIELD(engine_order, timeout_ms, INT),
	EFFECT_FIELD(engine_order, body, BYTES),
};

static const struct field effect_publish_fields[] = {
	EFFECT_FIELD(publish, healthy, BOOL),
	EFFECT_FIELD(publish, models, BYTES),
	EFFECT_FIELD(publish, metrics, BYTES),
};

static const struct field effect_span_fields[] = {
	EFFECT_FIELD(span, id, UINT),	   EFFECT_FIELD(span, trace, TEXT),
	EFFECT_FIELD(span, parent, TEXT),  EFFECT_FIELD(span, name, TEXT),
	EFFECT_FIELD(span, start_us, INT), EFFECT_FIELD(span, end_us, INT),
	EFFECT_FIELD(span, code, INT),	   EFFECT_FIELD(span, detail, TEXT),
};

static const struct field effect_log_fields[] = {
	EFFECT_FIELD(log, level, INT),
	EFFECT_FIELD(log, module, TEXT),
	EFFECT_FIELD(log, message, TEXT),
	EFFECT_FIELD(log, id, UINT),
	EFFECT_FIELD(log, organisation, TEXT),
	EFFECT_FIELD(log, class_name, TEXT),
};

static const struct field effect_exit_fields[] = {
	EFFECT_FIELD(exit, status, INT),
};

struct effect_row {
	const char *name;
	const struct field *fields;
	size_t n_fields;
};

static const struct effect_row effect_rows[] = {
#define EFFECT_ROW(kind, member, text)                         \
	[EFFECT_##kind] = { text, effect_##member##_fields,    \
			    sizeof(effect_##member##_fields) / \
				    sizeof(struct field) },
	EFFECT_TABLE(EFFECT_ROW)
#undef EFFECT_ROW
};

const char *effect_name(enum effect_kind kind)
{
	return effect_rows[kind].name;
}

const struct field *effect_fields(enum effect_kind kind, size_t *n)
{
	*n = effect_rows[kind].n_fields;
	return effect_rows[kind].fields;
}

void effect_free(struct effect *effect)
{
	size_t n;
	const struct field *fields;

	if (!effect)
		return;
	fields = effect_fields(effect->kind, &n);
	field_clear(fields, n, effect);
	free(effect);
}

void effects_init(struct effects *effects)
{
	list_init(&effects->head);
}

struct effect *effects_add(struct effects *effects, enum effect_kind kind)
{
	struct effect *effect = xcalloc(1, sizeof(*effect));

	effect->kind = kind;
	list_append(&effects->head, &effect->node);
	return effect;
}

void effects_add_log(struct effects *effects, enum log_level level,
		     const char *module, const char *format, va_list args)
{
	struct effect *effect = effects_add(effects, EFFECT_LOG);
	char *text = NULL;

	if (vasprintf(&text, format, args) < 0)
		abort();
	effect->u.log.level = level;
	effect->u.log.module = xstrdup(module);
	effect->u.log.message = text;
}

struct effect *effects_take(struct effects *effects)
{
	struct effect *first = list_first(&effects->head, struct effect, node);

	if (first)
		list_remove(&first->node);
	return first;
}

void effects_clear(struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects)))
		effect_free(effect);
}
