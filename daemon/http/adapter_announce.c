#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/http/adapter.h"

/* What backend servers and the platform tell of themselves. */

#define NAME_BYTES 256
#define LIST_BYTES 4096
#define LEASE_MS_MAX 3600000
#define CACHE_EVENTS_MAX 4096

static void json_cleanup(json_t **json)
{
	json_decref(*json);
}

static void event_cleanup(struct event **event)
{
	event_free(*event);
}

/* Fields that an announcement must have. */
static const char *const announce_needed[] = { "address",  "boot_id",
					       "sequence", "zone",
					       "lease_ms", "slots" };

static bool is_needed(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(announce_needed) / sizeof(*announce_needed); i++)
		if (!strcmp(announce_needed[i], name))
			return true;
	return false;
}

static bool read_text(void *at, const json_t *value)
{
	size_t len = json_string_length(value);

	if (!json_is_string(value) || !len || len > LIST_BYTES ||
	    strlen(json_string_value(value)) != len)
		return false;
	*(char **)at = xstrdup(json_string_value(value));
	return true;
}

static bool read_real(void *at, const json_t *value)
{
	double number = json_number_value(value);

	if (!json_is_number(value) || !isfinite(number) || number < 0)
		return false;
	*(double *)at = number;
	return true;
}

/* Counts and times are never negative. */
static bool read_integer(void *at, const json_t *value)
{
	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*(int64_t *)at = json_integer_value(value);
	return true;
}

static bool read_bool(void *at, const json_t *value)
{
	if (!json_is_boolean(value))
		return false;
	*(bool *)at = json_is_true(value);
	return true;
}

static bool is_absent(const json_t *value)
{
	return !value || json_is_null(value) ||
	       (json_is_string(value) && !json_string_length(value));
}

static bool read_field(const struct field *field, void *at, const json_t *value)
{
	switch (field->type) {
	case FIELD_TEXT:
		return read_text(at, value);
	case FIELD_REAL:
		return read_real(at, value);
	case FIELD_INT:
		return read_integer(at, value);
	case FIELD_BOOL:
		return read_bool(at, value);
	default:
		return false;
	}
}

static bool is_address(const char *text)
{
	struct address address;

	return address_parse(&address, text) && address_port(&address);
}

static enum result check_announce(const struct event_announce *announce,
				  const struct error_handler *handler)
{
	if (!is_address(announce->address))
		return error_report(handler, RESULT_BAD_REQUEST,
				    "address: IP:port is needed");
	if (strlen(announce->boot_id) > NAME_BYTES)
		return error_report(handler, RESULT_BAD_REQUEST,
				    "boot_id: longer than %d", NAME_BYTES);
	if (announce->lease_ms > LEASE_MS_MAX)
		return error_report(handler, RESULT_BAD_REQUEST,
				    "lease_ms: more than %d", LEASE_MS_MAX);
	if (!announce->service == !announce->model)
		return error_report(handler, RESULT_BAD_REQUEST,
				    "one of service and model is needed");
	return RESULT_OK;
}

static enum result read_announce(struct event *event, const json_t *root,
				 const struct error_handler *handler)
{
	size_t n;
	size_t i;
	const struct field *fields = event_fields(EVENT_ANNOUNCE, &n);

	for (i = 0; i < n; i++) {
		const json_t *value = json_object_get(root, fields[i].name);
		void *at = (char *)event + fields[i].offset;

		if (is_absent(value) && !is_needed(fields[i].name))
			continue;
		if (!read_field(&fields[i], at, value))
			return error_report(handler, RESULT_BAD_REQUEST,
					    "%s: missing or not allowed",
					    fields[i].name);
	}
	return check_announce(&event->u.announce, handler);
}

static json_t *load_object(const char *body, size_t len,
			   const struct error_handler *handler)
{
	json_error_t error;
	json_t *root = json_loadb(body, len, JSON_REJECT_DUPLICATES, &error);

	if (json_is_object(root))
		return root;
	error_report(handler, RESULT_BAD_REQUEST,
		     "body: not a JSON object: line %d: %s", error.line,
		     root ? "" : error.text);
	json_decref(root);
	return NULL;
}

struct event *adapter_read_announce(const char *body, size_t len,
				    const struct error_handler *handler)
{
	cleanup(json_cleanup) json_t *root = load_object(body, len, handler);
	cleanup(event_cleanup) struct event *event = NULL;

	if (!root)
		return NULL;
	event = event_new(EVENT_ANNOUNCE);
	if (read_announce(event, root, handler))
		return NULL;
	return take_ptr(event);
}

static struct event *read_cache_event(const json_t *root, const json_t *item)
{
	cleanup(event_cleanup) struct event *event = event_new(EVENT_CACHE);
	struct event_cache *cache = &event->u.cache;
	const char *prefix = json_string_value(json_object_get(item, "prefix"));
	char *end;

	if (!read_text(&cache->address, json_object_get(root, "address")) ||
	    !read_text(&cache->boot_id, json_object_get(root, "boot_id")) ||
	    !read_bool(&cache->held, json_object_get(item, "held")))
		return NULL;
	if (!prefix || strlen(prefix) != 16 ||
	    strspn(prefix, "0123456789abcdefABCDEF") != 16)
		return NULL;
	cache->prefix_hash = strtoull(prefix, &end, 16);
	return take_ptr(event);
}

static void free_events(struct list *head)
{
	struct event *event;
	struct event *next;

	list_foreach_safe(event, next, head, node) {
		list_remove(&event->node);
		event_free(event);
	}
}

enum result adapter_read_cache(const char *body, size_t len,
			       void (*post)(void *data, struct event *event),
			       void *data, const struct error_handler *handler)
{
	cleanup(json_cleanup) json_t *root = load_object(body, len, handler);
	const json_t *items = json_object_get(root, "events");
	struct list read;
	struct event *event;
	json_t *item;
	size_t i;

	if (!root)
		return RESULT_BAD_REQUEST;
	if (!json_is_array(items) || json_array_size(items) > CACHE_EVENTS_MAX)
		return error_report(handler, RESULT_BAD_REQUEST,
				    "events: a list of at most %d is needed",
				    CACHE_EVENTS_MAX);
	list_init(&read);
	json_array_foreach(items, i, item) {
		event = read_cache_event(root, item);
		if (!event) {
			free_events(&read);
			return error_report(handler, RESULT_BAD_REQUEST,
					    "events[%zu]: not allowed", i);
		}
		list_append(&read, &event->node);
	}
	while ((event = list_first(&read, struct event, node))) {
		list_remove(&event->node);
		post(data, event);
	}
	return RESULT_OK;
}

struct event *adapter_read_notice(const char *body, size_t len,
				  const struct error_handler *handler)
{
	cleanup(json_cleanup) json_t *root = load_object(body, len, handler);
	struct event *event;

	if (!root)
		return NULL;
	if (!json_is_string(json_object_get(root, "zone")) ||
	    !json_is_string(json_object_get(root, "kind")) ||
	    !json_is_integer(json_object_get(root, "in_ms"))) {
		error_report(handler, RESULT_BAD_REQUEST,
			     "zone, kind and in_ms are needed");
		return NULL;
	}
	event = event_new(EVENT_PLATFORM);
	bytes_append(&event->u.platform.body, body, len);
	return event;
}
