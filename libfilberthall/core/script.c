#include "core/script.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"

static void script_set_uint(json_t *root, const char *name, uint64_t value)
{
	cleanup(free_ptr) char *text = xstrfmt("%" PRIu64, value);

	json_object_set_new(root, name, json_string(text));
}

static json_t *script_hex(const struct bytes *bytes)
{
	cleanup(free_ptr) char *text = xcalloc(2 * bytes->len + 1, 1);
	size_t i;

	for (i = 0; i < bytes->len; i++) {
		static const char digits[] = "0123456789abcdef";
		unsigned char byte = (unsigned char)bytes->data[i];

		text[2 * i] = digits[byte >> 4];
		text[2 * i + 1] = digits[byte & 15];
	}
	return json_pack("{s:s}", "hex", text);
}

static void script_set_bytes(json_t *root, const char *name,
			     const struct bytes *bytes)
{
	json_t *value;

	if (!bytes->len)
		return;
	value = memchr(bytes->data, 0, bytes->len)
			? NULL
			: json_stringn(bytes->data, bytes->len);
	json_object_set_new(root, name, value ? value : script_hex(bytes));
}

static void script_set_field(json_t *root, const struct field *field,
			     const void *record)
{
	const void *at = (const char *)record + field->offset;

	switch (field->type) {
	case FIELD_BOOL:
		if (*(const bool *)at)
			json_object_set_new(root, field->name, json_true());
		break;
	case FIELD_INT:
		if (*(const int64_t *)at)
			json_object_set_new(root, field->name,
					    json_integer(*(const int64_t *)at));
		break;
	case FIELD_UINT:
		if (*(const uint64_t *)at)
			script_set_uint(root, field->name,
					*(const uint64_t *)at);
		break;
	case FIELD_REAL:
		if (*(const double *)at != 0)
			json_object_set_new(root, field->name,
					    json_real(*(const double *)at));
		break;
	case FIELD_TEXT:
		if (*(char *const *)at)
			json_object_set_new(root, field->name,
					    json_string(*(char *const *)at));
		break;
	case FIELD_BYTES:
		script_set_bytes(root, field->name, at);
		break;
	}
}

static void script_write(struct bytes *out, json_t *root,
			 const struct field *fields, size_t n,
			 const void *record)
{
	char *text;
	size_t i;

	for (i = 0; i < n; i++)
		script_set_field(root, &fields[i], record);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (!text)
		return;
	bytes_append_text(out, text);
	bytes_append_text(out, "\n");
	free(text);
}

void script_write_event(struct bytes *out, const struct event *event)
{
	json_t *root = json_object();
	const struct field *fields;
	size_t n;

	json_object_set_new(root, "at_us", json_integer(event->at_us));
	json_object_set_new(root, "event",
			    json_string(event_name(event->kind)));
	fields = event_fields(event->kind, &n);
	script_write(out, root, fields, n, event);
}

void script_write_effect(struct bytes *out, const struct effect *effect)
{
	json_t *root = json_object();
	const struct field *fields;
	size_t n;

	json_object_set_new(root, "effect",
			    json_string(effect_name(effect->kind)));
	fields = effect_fields(effect->kind, &n);
	script_write(out, root, fields, n, effect);
}

static int script_hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

static bool script_read_hex(struct bytes *bytes, const char *text)
{
	for (; *text; text += 2) {
		int high = script_hex_digit(text[0]);
		int low = high < 0 ? -1 : script_hex_digit(text[1]);
		char byte;

		if (low < 0)
			return false;
		byte = (char)(high << 4 | low);
		bytes_append(bytes, &byte, 1);
	}
	return true;
}

static bool script_read_bytes(struct bytes *bytes, const json_t *value)
{
	const json_t *hex = json_object_get(value, "hex");
	char *text;

	if (json_is_string(value)) {
		bytes_append(bytes, json_string_value(value),
			     json_string_length(value));
		return true;
	}
	if (json_is_string(hex) && json_object_size(value) == 1)
		return script_read_hex(bytes, json_string_value(hex));
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	if (!text)
		return false;
	bytes_append_text(bytes, text);
	free(text);
	return true;
}

static bool script_read_uint(uint64_t *slot, const json_t *value)
{
	const char *text = json_string_value(value);
	char *end;

	if (json_is_integer(value) && json_integer_value(value) >= 0) {
		*slot = (uint64_t)json_integer_value(value);
		return true;
	}
	if (!text || !*text || *text == '-')
		return false;
	errno = 0;
	*slot = strtoull(text, &end, 10);
	return !errno && !*end;
}

static bool script_read_field(void *record, const struct field *field,
			      const json_t *value)
{
	void *at = (char *)record + field->offset;

	switch (field->type) {
	case FIELD_BOOL:
		*(bool *)at = json_is_true(value);
		return json_is_boolean(value);
	case FIELD_INT:
		*(int64_t *)at = json_integer_value(value);
		return json_is_integer(value);
	case FIELD_UINT:
		return script_read_uint(at, value);
	case FIELD_REAL:
		*(double *)at = json_number_value(value);
		return json_is_number(value);
	case FIELD_TEXT:
		*(char **)at = xstrdup(json_string_value(value));
		return json_is_string(value);
	case FIELD_BYTES:
		return script_read_bytes(at, value);
	}
	return false;
}

static bool script_find_kind(const char *name, enum event_kind *kind)
{
	int i;

	for (i = 0; name && i < EVENT_KINDS; i++) {
		if (strcmp(event_name((enum event_kind)i), name))
			continue;
		*kind = (enum event_kind)i;
		return true;
	}
	return false;
}

static enum result script_read_fields(struct event *event, json_t *root,
				      const struct error_handler *handler)
{
	const struct field *fields;
	const char *key;
	json_t *value;
	size_t n;
	size_t i;

	fields = event_fields(event->kind, &n);
	json_object_foreach(root, key, value) {
		if (!strcmp(key, "event") || !strcmp(key, "at_us"))
			continue;
		for (i = 0; i < n; i++)
			if (!strcmp(fields[i].name, key))
				break;
		if (i == n)
			return error_report(handler, RESULT_MESSAGE_MALFORMED,
					    "%s: no such field of '%s'", key,
					    event_name(event->kind));
		if (!script_read_field(event, &fields[i], value))
			return error_report(handler, RESULT_MESSAGE_MALFORMED,
					    "%s: not a value of its type", key);
	}
	return RESULT_OK;
}

enum result script_read_event(struct event **event, const char *line,
			      size_t len, const struct error_handler *handler)
{
	json_error_t error;
	json_t *root = json_loadb(line, len, JSON_REJECT_DUPLICATES, &error);
	enum event_kind kind;
	struct event *read;
	enum result code;

	*event = NULL;
	if (!json_is_object(root) ||
	    !script_find_kind(json_string_value(json_object_get(root, "event")),
			      &kind)) {
		json_decref(root);
		return error_report(handler, RESULT_MESSAGE_MALFORMED,
				    "event: an object with a known kind is "
				    "needed");
	}
	read = event_new(kind);
	read->at_us = json_integer_value(json_object_get(root, "at_us"));
	code = script_read_fields(read, root, handler);
	json_decref(root);
	if (code)
		event_free(read);
	else
		*event = read;
	return code;
}
