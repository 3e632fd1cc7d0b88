#include "bench/scenario.h"

#include <libfyaml.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

enum value_type {
	VALUE_TEXT,
	VALUE_INT,
	VALUE_REAL,
	VALUE_BOOL,
	VALUE_DISTRIBUTION,
	VALUE_FAULT_KIND,
	VALUE_LIST
};

struct value_field {
	const char *name;
	enum value_type type;
	size_t offset;
	const struct list_type *list; /* of VALUE_LIST */
};

/* How a list of mappings is read into an array. */
struct list_type {
	size_t size;
	size_t count_offset;
	const struct value_field *fields;
	const void *defaults;
};

struct reader {
	const char *path;
	const struct error_handler *handler;
};

#define FIELD(type, member, kind)                                  \
	{                                                          \
#member, kind, offsetof(struct type, member), NULL \
	}
#define FIELD_AS(type, name, member, kind)                      \
	{                                                       \
		name, kind, offsetof(struct type, member), NULL \
	}
#define FIELD_END                         \
	{                                 \
		NULL, VALUE_TEXT, 0, NULL \
	}

static const struct value_field distribution_fields[] = {
	FIELD(distribution, median, VALUE_REAL),
	FIELD(distribution, sigma, VALUE_REAL),
	FIELD_END,
};

static const struct value_field server_fields[] = {
	FIELD(scenario_servers, count, VALUE_INT),
	FIELD(scenario_servers, model, VALUE_TEXT),
	FIELD(scenario_servers, zone, VALUE_TEXT),
	FIELD(scenario_servers, cheap, VALUE_BOOL),
	FIELD(scenario_servers, slots, VALUE_INT),
	FIELD(scenario_servers, prefill_tokens_per_s, VALUE_REAL),
	FIELD(scenario_servers, decode_tokens_per_s, VALUE_REAL),
	FIELD(scenario_servers, kv_tokens, VALUE_INT),
	FIELD_END,
};

static const struct value_field class_fields[] = {
	FIELD(scenario_class, name, VALUE_TEXT),
	FIELD(scenario_class, tier, VALUE_INT),
	FIELD(scenario_class, first_token_target_s, VALUE_REAL),
	FIELD(scenario_class, inter_token_target_s, VALUE_REAL),
	FIELD(scenario_class, deadline_s, VALUE_REAL),
	FIELD(scenario_class, min_share, VALUE_REAL),
	FIELD(scenario_class, queue_bound, VALUE_INT),
	FIELD(scenario_class, idempotent, VALUE_BOOL),
	FIELD(scenario_class, reclaimable, VALUE_BOOL),
	FIELD_END,
};

static const struct value_field organisation_fields[] = {
	FIELD(scenario_organisation, name, VALUE_TEXT),
	FIELD(scenario_organisation, max_concurrent, VALUE_INT),
	FIELD(scenario_organisation, requests_per_min, VALUE_INT),
	FIELD(scenario_organisation, tokens_per_min, VALUE_INT),
	FIELD(scenario_organisation, burst_s, VALUE_REAL),
	FIELD_END,
};

static const struct value_field traffic_fields[] = {
	FIELD(scenario_traffic, organisation, VALUE_TEXT),
	FIELD_AS(scenario_traffic, "class", class_name, VALUE_TEXT),
	FIELD(scenario_traffic, model, VALUE_TEXT),
	FIELD(scenario_traffic, from_s, VALUE_REAL),
	FIELD(scenario_traffic, until_s, VALUE_REAL),
	FIELD(scenario_traffic, rate_per_s, VALUE_REAL),
	FIELD(scenario_traffic, prompt_tokens, VALUE_DISTRIBUTION),
	FIELD(scenario_traffic, output_tokens, VALUE_DISTRIBUTION),
	FIELD(scenario_traffic, max_tokens, VALUE_INT),
	FIELD(scenario_traffic, prefixes, VALUE_INT),
	FIELD(scenario_traffic, patience_s, VALUE_REAL),
	FIELD(scenario_traffic, whole, VALUE_BOOL),
	FIELD(scenario_traffic, poison, VALUE_BOOL),
	FIELD(scenario_traffic, resend_s, VALUE_REAL),
	FIELD_END,
};

static const struct value_field fault_fields[] = {
	FIELD(scenario_fault, at_s, VALUE_REAL),
	FIELD(scenario_fault, kind, VALUE_FAULT_KIND),
	FIELD(scenario_fault, backend_server, VALUE_INT),
	FIELD(scenario_fault, factor, VALUE_REAL),
	FIELD(scenario_fault, router, VALUE_INT),
	FIELD(scenario_fault, for_s, VALUE_REAL),
	FIELD(scenario_fault, zone, VALUE_TEXT),
	FIELD(scenario_fault, notice_s, VALUE_REAL),
	FIELD_END,
};

static const struct scenario_servers server_defaults = {
	.count = 1,
	.model = "base",
	.zone = "z1",
	.slots = 32,
	.prefill_tokens_per_s = 20000,
	.decode_tokens_per_s = 1600,
	.kv_tokens = 400000,
};

static const struct scenario_class class_defaults = {
	.deadline_s = 60,
	.idempotent = true,
};

static const struct scenario_organisation organisation_defaults = { 0 };

static const struct scenario_traffic traffic_defaults = {
	.model = "base",
	.prompt_tokens = { 400, 0.6 },
	.output_tokens = { 120, 0.8 },
	.patience_s = 30,
};

static const struct scenario_fault fault_defaults = {
	.factor = 1,
	.notice_s = 5,
};

#define LIST_TYPE(noun, count)                                      \
	static const struct list_type noun##_list = {               \
		sizeof(struct scenario_##noun),                     \
		offsetof(struct scenario, count), noun##_fields_of, \
		&noun##_defaults_of                                 \
	}
#define servers_fields_of server_fields
#define servers_defaults_of server_defaults
#define class_fields_of class_fields
#define class_defaults_of class_defaults
#define organisation_fields_of organisation_fields
#define organisation_defaults_of organisation_defaults
#define traffic_fields_of traffic_fields
#define traffic_defaults_of traffic_defaults
#define fault_fields_of fault_fields
#define fault_defaults_of fault_defaults

LIST_TYPE(servers, n_servers);
LIST_TYPE(class, n_classes);
LIST_TYPE(organisation, n_organisations);
LIST_TYPE(traffic, n_traffic);
LIST_TYPE(fault, n_faults);

static const struct value_field scenario_fields[] = {
	FIELD(scenario, name, VALUE_TEXT),
	FIELD(scenario, seed, VALUE_INT),
	FIELD(scenario, duration_s, VALUE_REAL),
	FIELD(scenario, routers, VALUE_INT),
	FIELD(scenario, report_lag_s, VALUE_REAL),
	{ "backend_servers", VALUE_LIST, offsetof(struct scenario, servers),
	  &servers_list },
	{ "classes", VALUE_LIST, offsetof(struct scenario, classes),
	  &class_list },
	{ "organisations", VALUE_LIST, offsetof(struct scenario, organisations),
	  &organisation_list },
	{ "traffic", VALUE_LIST, offsetof(struct scenario, traffic),
	  &traffic_list },
	{ "faults", VALUE_LIST, offsetof(struct scenario, faults),
	  &fault_list },
	FIELD_END,
};

static const char *const fault_names[] = {
	"slow", "crash", "recover", "silent", "cut_router", "reclaim_zone",
};

static int node_line(struct fy_node *node)
{
	struct fy_token *token = fy_node_get_scalar_token(node);
	const struct fy_mark *mark = token ? fy_token_start_mark(token) : NULL;

	return mark ? mark->line + 1 : 0;
}

static enum result read_mapping(const struct reader *reader,
				struct fy_node *node, int line,
				const struct value_field *fields, void *record);

static const char *node_text(struct fy_node *node, char *buf, size_t size)
{
	size_t len = 0;
	const char *text = node ? fy_node_get_scalar(node, &len) : NULL;

	if (!text || len >= size)
		return NULL;
	memcpy(buf, text, len);
	buf[len] = '\0';
	return buf;
}

static bool parse_bool(const char *text, bool *value)
{
	*value = !strcmp(text, "true");
	return *value || !strcmp(text, "false");
}

static bool parse_fault(const char *text, enum fault_kind *kind)
{
	size_t i;

	for (i = 0; i < sizeof(fault_names) / sizeof(*fault_names); i++)
		if (!strcmp(text, fault_names[i])) {
			*kind = (enum fault_kind)i;
			return true;
		}
	return false;
}

static bool parse_scalar(const char *text, enum value_type type, void *at)
{
	char *end = NULL;

	switch (type) {
	case VALUE_TEXT:
		if (strlen(text) >= SCENARIO_NAME_SIZE)
			return false;
		memcpy(at, text, strlen(text) + 1);
		return true;
	case VALUE_INT:
		*(int64_t *)at = strtoll(text, &end, 10);
		return end != text && !*end;
	case VALUE_REAL:
		*(double *)at = strtod(text, &end);
		return end != text && !*end;
	case VALUE_BOOL:
		return parse_bool(text, at);
	case VALUE_FAULT_KIND:
		return parse_fault(text, at);
	default:
		return false;
	}
}

static enum result read_list(const struct reader *reader, struct fy_node *node,
			     int line, const struct list_type *type,
			     void *scenario, void *at)
{
	int n = fy_node_is_sequence(node) ? fy_node_sequence_item_count(node)
					  : -1;
	enum result code;
	char *items;
	int i;

	if (n < 0)
		return error_report(reader->handler, RESULT_SETTING_VALUE,
				    "%s:%d: a list is expected", reader->path,
				    line);
	items = xcalloc((size_t)n + 1, type->size);
	*(void **)at = items;
	*(int *)((char *)scenario + type->count_offset) = n;
	for (i = 0; i < n; i++) {
		char *item = items + (size_t)i * type->size;

		memcpy(item, type->defaults, type->size);
		code = read_mapping(reader,
				    fy_node_sequence_get_by_index(node, i),
				    line, type->fields, item);
		if (code)
			return code;
	}
	return RESULT_OK;
}

static enum result read_value(const struct reader *reader, struct fy_node *node,
			      int line, const struct value_field *field,
			      void *record)
{
	void *at = (char *)record + field->offset;
	char buf[256];
	const char *text;

	if (field->type == VALUE_LIST)
		return read_list(reader, node, line, field->list, record, at);
	if (field->type == VALUE_DISTRIBUTION)
		return read_mapping(reader, node, line, distribution_fields,
				    at);
	text = node_text(node, buf, sizeof(buf));
	if (!text || !parse_scalar(text, field->type, at))
		return error_report(reader->handler, RESULT_SETTING_VALUE,
				    "%s:%d: bad value of '%s'", reader->path,
				    line, field->name);
	return RESULT_OK;
}

static enum result read_mapping(const struct reader *reader,
				struct fy_node *node, int line,
				const struct value_field *fields, void *record)
{
	const struct value_field *field;
	struct fy_node_pair *pair;
	void *iterator = NULL;
	enum result code;
	char buf[256];
	const char *key;

	if (!node || !fy_node_is_mapping(node))
		return error_report(reader->handler, RESULT_SETTING_VALUE,
				    "%s:%d: a mapping is expected",
				    reader->path, line);
	while ((pair = fy_node_mapping_iterate(node, &iterator))) {
		struct fy_node *name = fy_node_pair_key(pair);

		line = node_line(name);
		key = node_text(name, buf, sizeof(buf));
		for (field = fields; key && field->name; field++)
			if (!strcmp(field->name, key))
				break;
		if (!key || !field->name)
			return error_report(reader->handler,
					    RESULT_SETTING_UNKNOWN,
					    "%s:%d: unknown field '%s'",
					    reader->path, line, key ? key : "");
		code = read_value(reader, fy_node_pair_value(pair), line, field,
				  record);
		if (code)
			return code;
	}
	return RESULT_OK;
}

int scenario_class_index(const struct scenario *scenario, const char *name)
{
	int i;

	for (i = 0; i < scenario->n_classes; i++)
		if (!strcmp(scenario->classes[i].name, name))
			return i;
	return -1;
}

static bool has_organisation(const struct scenario *scenario, const char *name)
{
	int i;

	for (i = 0; i < scenario->n_organisations; i++)
		if (!strcmp(scenario->organisations[i].name, name))
			return true;
	return false;
}

static enum result scenario_check(const struct scenario *scenario,
				  const struct reader *reader)
{
	int i;

	if (scenario->duration_s <= 0 || scenario->routers < 1 ||
	    !scenario->n_servers)
		return error_report(reader->handler, RESULT_SETTING_VALUE,
				    "%s: duration_s, routers and "
				    "backend_servers are needed",
				    reader->path);
	for (i = 0; i < scenario->n_traffic; i++) {
		const struct scenario_traffic *traffic = &scenario->traffic[i];

		if (scenario_class_index(scenario, traffic->class_name) < 0 ||
		    !has_organisation(scenario, traffic->organisation))
			return error_report(reader->handler,
					    RESULT_SETTING_VALUE,
					    "%s: traffic %d names an unknown "
					    "class or organisation",
					    reader->path, i + 1);
	}
	for (i = 0; i < scenario->n_classes; i++)
		if (scenario->classes[i].tier < 0 ||
		    scenario->classes[i].tier > 3)
			return error_report(reader->handler,
					    RESULT_SETTING_VALUE,
					    "%s: tiers go from 0 to 3",
					    reader->path);
	return RESULT_OK;
}

enum result scenario_load(struct scenario *scenario, const char *path,
			  const struct error_handler *handler)
{
	struct reader reader = { path, handler };
	struct fy_document *document;
	enum result code;

	memset(scenario, 0, sizeof(*scenario));
	scenario->seed = 1;
	scenario->routers = 1;
	document = fy_document_build_from_file(NULL, path);
	if (!document)
		return error_report(handler, RESULT_SETTING_SYNTAX,
				    "%s: not valid YAML", path);
	code = read_mapping(&reader, fy_document_root(document), 1,
			    scenario_fields, scenario);
	fy_document_destroy(document);
	if (!code)
		code = scenario_check(scenario, &reader);
	if (code)
		scenario_clear(scenario);
	return code;
}

void scenario_clear(struct scenario *scenario)
{
	free(scenario->servers);
	free(scenario->classes);
	free(scenario->organisations);
	free(scenario->traffic);
	free(scenario->faults);
	memset(scenario, 0, sizeof(*scenario));
}
