#include "agree/yaml.h"

#include <errno.h>
#include <libfyaml.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree/schema.h"
#include "agree/settings.h"
#include "base/cleanup.h"

/*
 * Aliases can make a short text stand for a huge tree; beyond this many
 * values it is refused. The largest site has a few ten thousand.
 */
#define YAML_VALUES 200000
#define YAML_DEPTH 24
#define YAML_PATH_SIZE 256

struct yaml {
	const char *name;
	struct fy_diag *diag;
	struct fy_parser *parser;
	struct fy_document *document;
	const struct error_handler *handler;
	size_t n_values;
	int depth;
	enum result code;
	json_t *values;
	json_t *places; /**< "PATH" or "PATH FIELD" to "LINE:COLUMN" */
};

static void yaml_close(struct yaml *yaml)
{
	if (yaml->document)
		fy_parse_document_destroy(yaml->parser, yaml->document);
	fy_parser_destroy(yaml->parser);
	fy_diag_destroy(yaml->diag);
	json_decref(yaml->values);
	json_decref(yaml->places);
}

static void yaml_open(struct yaml *yaml, const char *name, const char *text,
		      size_t len, const struct error_handler *handler)
{
	struct fy_diag_cfg diag;
	struct fy_parse_cfg config = { .flags = FYPCF_QUIET |
						FYPCF_RESOLVE_DOCUMENT };

	memset(yaml, 0, sizeof(*yaml));
	yaml->name = name;
	yaml->handler = handler;
	fy_diag_cfg_default(&diag);
	diag.fp = NULL;
	yaml->diag = fy_diag_create(&diag);
	fy_diag_set_collect_errors(yaml->diag, true);
	config.diag = yaml->diag;
	yaml->parser = fy_parser_create(&config);
	fy_parser_set_string(yaml->parser, text, len);
	yaml->values = json_object();
	yaml->places = json_object();
}

static void yaml_report(struct yaml *yaml, enum result code, const char *place,
			const char *message)
{
	yaml->code = code;
	error_report(yaml->handler, code, "%s:%s: %s", yaml->name, place,
		     message);
}

static void yaml_place(struct fy_token *token, char *place, size_t size)
{
	const struct fy_mark *mark = token ? fy_token_start_mark(token) : NULL;

	if (mark)
		snprintf(place, size, "%d:%d", mark->line + 1,
			 mark->column + 1);
	else
		snprintf(place, size, "1:1");
}

static enum result yaml_syntax_error(struct yaml *yaml)
{
	struct fy_diag_error *error;
	void *at = NULL;
	char place[32];

	while ((error = fy_diag_errors_iterate(yaml->diag, &at))) {
		snprintf(place, sizeof(place), "%d:%d", error->line,
			 error->column);
		yaml_report(yaml, RESULT_SETTING_SYNTAX, place, error->msg);
	}
	if (yaml->code == RESULT_OK)
		yaml_report(yaml, RESULT_SETTING_SYNTAX, "1:1",
			    "can't be read");
	return yaml->code;
}

/*
 * Parse the text's one document. A second one would be ignored by the
 * library's simple call, and an operator would believe it in force.
 */
static enum result yaml_parse(struct yaml *yaml)
{
	struct fy_document *second;

	yaml->document = fy_parse_load_document(yaml->parser);
	if (fy_diag_got_error(yaml->diag))
		return yaml_syntax_error(yaml);
	second = fy_parse_load_document(yaml->parser);
	if (second)
		fy_parse_document_destroy(yaml->parser, second);
	if (fy_diag_got_error(yaml->diag))
		return yaml_syntax_error(yaml);
	if (second) {
		yaml_report(yaml, RESULT_SETTING_SYNTAX, "1:1",
			    "holds more than one document");
		return yaml->code;
	}
	return RESULT_OK;
}

static json_t *yaml_number(const char *text)
{
	char *end;
	long long whole;
	double real;

	if (strspn(text, "+-.0123456789eE") != strlen(text) ||
	    !strpbrk(text, "0123456789"))
		return NULL;
	errno = 0;
	whole = strtoll(text, &end, 10);
	if (!*end && !errno)
		return json_integer(whole);
	real = strtod(text, &end);
	return *end ? NULL : json_real(real);
}

static json_t *yaml_scalar(struct fy_node *node)
{
	size_t len;
	const char *data = fy_node_get_scalar(node, &len);
	const char *text = fy_node_get_scalar0(node);
	json_t *number;

	if (!text || !data)
		return json_null();
	if (fy_node_get_style(node) != FYNS_PLAIN)
		return json_stringn(data, len);
	if (!*text || !strcmp(text, "~") || !strcasecmp(text, "null"))
		return json_null();
	if (!strcasecmp(text, "true") || !strcasecmp(text, "false"))
		return json_boolean(!strcasecmp(text, "true"));
	number = yaml_number(text);
	return number ? number : json_stringn(data, len);
}

static json_t *yaml_value(struct yaml *yaml, struct fy_node *node,
			  const char *path, const char *field);

static json_t *yaml_sequence(struct yaml *yaml, struct fy_node *node,
			     const char *path, const char *field)
{
	json_t *list = json_array();
	struct fy_node *item;
	void *at = NULL;

	while ((item = fy_node_sequence_iterate(node, &at))) {
		char name[YAML_PATH_SIZE];

		snprintf(name, sizeof(name), "%s[%zu]", field,
			 json_array_size(list));
		if (json_array_append_new(list, yaml_value(yaml, item, path,
							   name)) < 0)
			break;
	}
	return list;
}

static void yaml_note_place(struct yaml *yaml, struct fy_node *key,
			    const char *path, const char *field)
{
	char name[2 * YAML_PATH_SIZE];
	char place[32];

	snprintf(name, sizeof(name), "%s%s%s", path, *field ? " " : "", field);
	yaml_place(fy_node_get_scalar_token(key), place, sizeof(place));
	json_object_set_new(yaml->places, name, json_string(place));
}

static json_t *yaml_mapping(struct yaml *yaml, struct fy_node *node,
			    const char *path, const char *field)
{
	json_t *object = json_object();
	struct fy_node_pair *pair;
	void *at = NULL;

	while ((pair = fy_node_mapping_iterate(node, &at))) {
		struct fy_node *key = fy_node_pair_key(pair);
		const char *text = key ? fy_node_get_scalar0(key) : NULL;
		char name[YAML_PATH_SIZE];

		if (!text)
			continue;
		snprintf(name, sizeof(name), "%s%s%s", field, *field ? "." : "",
			 text);
		yaml_note_place(yaml, key, path, name);
		if (json_object_set_new(object, text,
					yaml_value(yaml,
						   fy_node_pair_value(pair),
						   path, name)) < 0)
			break;
	}
	return object;
}

/* JSON of a node. NULL, with a message, if there is too much of it. */
static json_t *yaml_value(struct yaml *yaml, struct fy_node *node,
			  const char *path, const char *field)
{
	json_t *value = NULL;

	if (!node)
		return json_null();
	if (yaml->code != RESULT_OK)
		return NULL;
	if (++yaml->n_values > YAML_VALUES || yaml->depth >= YAML_DEPTH) {
		yaml_report(yaml, RESULT_SETTING_SYNTAX, "1:1",
			    "holds too many values or too deep ones");
		return NULL;
	}
	yaml->depth++;
	if (fy_node_is_mapping(node))
		value = yaml_mapping(yaml, node, path, field);
	else if (fy_node_is_sequence(node))
		value = yaml_sequence(yaml, node, path, field);
	else
		value = yaml_scalar(node);
	yaml->depth--;
	return value;
}

/* Report a fault at the line of its field, or else of its path. */
static void yaml_report_fault(struct yaml *yaml,
			      const struct schema_fault *fault)
{
	char name[2 * YAML_PATH_SIZE];
	char text[1152];
	const char *place;

	snprintf(name, sizeof(name), "%s %s", fault->path, fault->field);
	place = json_string_value(json_object_get(yaml->places, name));
	if (!place)
		place = json_string_value(
			json_object_get(yaml->places, fault->path));
	schema_fault_format(fault, text, sizeof(text));
	yaml_report(yaml, fault->code, place ? place : "1:1", text);
}

static void yaml_take_object(struct yaml *yaml, struct fy_node *node,
			     const char *path)
{
	enum result before = yaml->code;
	struct schema_fault fault;
	json_t *value;

	yaml->code = RESULT_OK;
	value = yaml_value(yaml, node, path, "");
	if (value) {
		yaml->code = before;
		if (!json_is_null(value) &&
		    schema_check(path, value, &fault) != RESULT_OK)
			yaml_report_fault(yaml, &fault);
		json_object_set_new(yaml->values, path, value);
	}
}

/* Walk down to where the schema has settings objects. */
static void yaml_walk(struct yaml *yaml, struct fy_node *node, const char *path)
{
	struct fy_node_pair *pair;
	void *at = NULL;

	while ((pair = fy_node_mapping_iterate(node, &at))) {
		struct fy_node *key = fy_node_pair_key(pair);
		struct fy_node *value = fy_node_pair_value(pair);
		const char *text = key ? fy_node_get_scalar0(key) : NULL;
		char below[YAML_PATH_SIZE];
		struct schema_fault fault;

		snprintf(below, sizeof(below), "%s%s%s", path, *path ? "/" : "",
			 text ? text : "");
		yaml_note_place(yaml, key, below, "");
		if (schema_object_length(below) == strlen(below)) {
			yaml_take_object(yaml, value, below);
		} else if (schema_is_prefix(below) && value &&
			   fy_node_is_mapping(value)) {
			yaml_walk(yaml, value, below);
		} else {
			schema_check(below, NULL, &fault);
			yaml_report_fault(yaml, &fault);
		}
	}
}

static enum result yaml_collect(struct yaml *yaml)
{
	struct fy_node *root = NULL;

	if (yaml_parse(yaml) != RESULT_OK)
		return yaml->code;
	if (yaml->document)
		root = fy_document_root(yaml->document);
	if (root && fy_node_is_mapping(root))
		yaml_walk(yaml, root, "");
	else if (root && !fy_node_is_null(root))
		yaml_report(yaml, RESULT_SETTING_VALUE, "1:1",
			    "the text is no tree of settings");
	return yaml->code;
}

enum result yaml_read_settings(const char *name, const char *text, size_t len,
			       json_t **values,
			       const struct error_handler *handler)
{
	cleanup(yaml_close) struct yaml yaml;

	*values = NULL;
	yaml_open(&yaml, name, text, len, handler);
	if (yaml_collect(&yaml) == RESULT_OK)
		*values = json_incref(yaml.values);
	return yaml.code;
}

/* A message of the settings tree, "PATH: FIELD ...", gets its line. */
static void yaml_report_cross(void *data, enum result code, const char *message)
{
	struct yaml *yaml = data;
	size_t path_len = strcspn(message, ":");
	size_t field_len = 0;
	char name[2 * YAML_PATH_SIZE];
	const char *place;

	if (message[path_len])
		field_len = strcspn(message + path_len + 2, " ");
	snprintf(name, sizeof(name), "%.*s %.*s", (int)path_len, message,
		 (int)field_len, message + path_len + 2);
	place = json_string_value(json_object_get(yaml->places, name));
	name[path_len] = '\0';
	if (!place)
		place = json_string_value(json_object_get(yaml->places, name));
	yaml_report(yaml, code, place ? place : "1:1", message);
}

enum result yaml_check_settings(const char *name, const char *text, size_t len,
				const struct error_handler *handler)
{
	cleanup(yaml_close) struct yaml yaml;
	struct error_handler cross = { yaml_report_cross, &yaml };
	struct settings_author author = { .index = 1 };
	struct settings *settings;
	json_t *answer;

	yaml_open(&yaml, name, text, len, handler);
	if (yaml_collect(&yaml) != RESULT_OK)
		return yaml.code;
	settings = settings_new();
	answer = json_object();
	settings_change_values(settings, yaml.values, NULL, &author, answer,
			       &cross);
	json_decref(answer);
	settings_free(settings);
	return yaml.code;
}

enum result yaml_read(const char *name, const char *text, size_t len,
		      json_t **value, const struct error_handler *handler)
{
	cleanup(yaml_close) struct yaml yaml;

	*value = NULL;
	yaml_open(&yaml, name, text, len, handler);
	if (yaml_parse(&yaml) != RESULT_OK)
		return yaml.code;
	*value = yaml_value(&yaml,
			    yaml.document ? fy_document_root(yaml.document)
					  : NULL,
			    "", "");
	return yaml.code;
}
