#include "agree/schema.h"

#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "agree/schema_table.h"
#include "base/bytes.h"
#include "core/rule.h"

/* Whether `path` begins with a match of the pattern; `*len` gets its length. */
static bool schema_pattern_matches(const char *pattern, const char *path,
				   size_t *len)
{
	const char *at = path;

	while (*pattern) {
		if (*pattern == '*') {
			size_t part = strcspn(at, "/");

			if (!part)
				return false;
			at += part;
			pattern++;
		} else if (*pattern++ != *at++) {
			return false;
		}
	}
	*len = (size_t)(at - path);
	return !*at || *at == '/';
}

static const struct schema_row *schema_find_row(const char *path, size_t *len)
{
	const struct schema_row *row;

	for (row = schema_rows; row->pattern; row++)
		if (schema_pattern_matches(row->pattern, path, len))
			return row;
	return NULL;
}

size_t schema_object_length(const char *path)
{
	size_t len;

	return schema_find_row(path, &len) ? len : 0;
}

static bool schema_pattern_continues(const char *pattern, const char *path)
{
	while (*path) {
		size_t part = strcspn(path, "/");
		size_t wanted = strcspn(pattern, "/");

		if (*pattern != '*' &&
		    (part != wanted || strncmp(path, pattern, part) != 0))
			return false;
		path += part + (path[part] == '/');
		pattern += wanted;
		if (!*pattern)
			return false;
		pattern++;
	}
	return true;
}

bool schema_is_prefix(const char *path)
{
	const struct schema_row *row;

	for (row = schema_rows; row->pattern; row++)
		if (schema_pattern_continues(row->pattern, path))
			return true;
	return false;
}

static const struct schema_field *
schema_find_field(const struct schema_field *fields, const char *name)
{
	for (; fields->name; fields++)
		if (!strcmp(fields->name, name))
			return fields;
	return NULL;
}

double schema_default(const char *path, const char *name)
{
	size_t len;
	const struct schema_row *row = schema_find_row(path, &len);
	const struct schema_field *field;

	if (!row)
		return 0;
	field = schema_find_field(row->fields, name);
	return field ? field->fallback : 0;
}

static bool schema_is_name(const char *text)
{
	const char *at;

	for (at = text; *at; at++) {
		bool first = (*at >= 'a' && *at <= 'z') ||
			     (*at >= 'A' && *at <= 'Z') ||
			     (*at >= '0' && *at <= '9');

		if (!first && (at == text || !strchr("._-", *at)))
			return false;
	}
	return at != text && at - text < RULE_NAME_SIZE;
}

/* Describe the values that a field allows. */
static void schema_describe_allowed(const struct schema_field *field,
				    char *text, size_t size)
{
	switch (field->kind) {
	case VALUE_INT:
		snprintf(text, size, "a whole number from %.0f to %.0f",
			 field->min, field->max);
		break;
	case VALUE_REAL:
		snprintf(text, size, "a number from %g to %g", field->min,
			 field->max);
		break;
	case VALUE_BOOL:
		snprintf(text, size, "true or false");
		break;
	case VALUE_NAME:
		snprintf(text, size, "%s", SCHEMA_NAME_RULE);
		break;
	case VALUE_TEXT:
		snprintf(text, size, "text of %.0f to %.0f bytes", field->min,
			 field->max);
		break;
	case VALUE_CHOICE:
		snprintf(text, size, "one of %s", field->choices);
		break;
	case VALUE_LIST:
		snprintf(text, size, "a list of %.0f to %.0f entries",
			 field->min, field->max);
		break;
	}
}

static bool schema_is_choice(const char *choices, const char *text)
{
	size_t len = strlen(text);
	const char *at = choices;

	while (len && (at = strstr(at, text))) {
		bool starts = at == choices || at[-1] == ' ';

		if (starts && (at[len] == ',' || !at[len]))
			return true;
		at += len;
	}
	return false;
}

static bool schema_in_range(const struct schema_field *field, double value)
{
	return value >= field->min && value <= field->max;
}

static bool schema_type_matches(const struct schema_field *field,
				const json_t *value)
{
	const char *text = json_string_value(value);

	switch (field->kind) {
	case VALUE_INT:
		return json_is_integer(value) &&
		       schema_in_range(field,
				       (double)json_integer_value(value));
	case VALUE_REAL:
		return json_is_number(value) &&
		       schema_in_range(field, json_number_value(value));
	case VALUE_BOOL:
		return json_is_boolean(value);
	case VALUE_NAME:
		return text && schema_is_name(text);
	case VALUE_TEXT:
		return text && schema_in_range(field, (double)strlen(text));
	case VALUE_CHOICE:
		return text && schema_is_choice(field->choices, text);
	case VALUE_LIST:
		return json_is_array(value) &&
		       schema_in_range(field, (double)json_array_size(value));
	}
	return false;
}

/* Format a value for a message, truncated to `size`. */
static void schema_format_value(const json_t *value, char *text, size_t size)
{
	size_t len;

	memset(text, 0, size);
	len = json_dumpb(value, text, size,
			 JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);
	if (len < size)
		return;
	text[size - 1] = '\0';
	len = strlen(text);
	if (len > size - 4)
		len = size - 4;
	memcpy(text + len, "...", 4);
}

static enum result schema_set_fault(struct schema_fault *fault,
				    enum result code, const char *path,
				    const char *field)
{
	fault->code = code;
	snprintf(fault->path, sizeof(fault->path), "%s", path);
	snprintf(fault->field, sizeof(fault->field), "%s", field);
	return code;
}

static enum result schema_unknown_field(const char *path, const char *name,
					const struct schema_field *fields,
					struct schema_fault *fault)
{
	size_t at = 0;

	snprintf(fault->reason, sizeof(fault->reason), "is not known here");
	for (; fields->name && at < sizeof(fault->allowed); fields++)
		at += (size_t)snprintf(fault->allowed + at,
				       sizeof(fault->allowed) - at, "%s%s",
				       at ? ", " : "", fields->name);
	return schema_set_fault(fault, RESULT_SETTING_UNKNOWN, path, name);
}

static enum result schema_check_fields(const char *path, const char *prefix,
				       const struct schema_field *fields,
				       const json_t *value,
				       struct schema_fault *fault);

static enum result schema_check_list(const char *path, const char *name,
				     const struct schema_field *field,
				     const json_t *list,
				     struct schema_fault *fault)
{
	char prefix[160];
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item) {
		enum result code;

		snprintf(prefix, sizeof(prefix), "%s[%zu].", name, i);
		if (!json_is_object(item)) {
			snprintf(fault->reason, sizeof(fault->reason),
				 "is not an object");
			snprintf(fault->allowed, sizeof(fault->allowed),
				 "an object of fields");
			prefix[strlen(prefix) - 1] = '\0';
			return schema_set_fault(fault, RESULT_SETTING_VALUE,
						path, prefix);
		}
		code = schema_check_fields(path, prefix, field->item, item,
					   fault);
		if (code != RESULT_OK)
			return code;
	}
	return RESULT_OK;
}

static enum result schema_check_field(const char *path, const char *name,
				      const struct schema_field *field,
				      const json_t *value,
				      struct schema_fault *fault)
{
	char shown[128];

	if (schema_type_matches(field, value))
		return field->kind == VALUE_LIST && field->item
			       ? schema_check_list(path, name, field, value,
						   fault)
			       : RESULT_OK;
	schema_format_value(value, shown, sizeof(shown));
	snprintf(fault->reason, sizeof(fault->reason), "is %s", shown);
	schema_describe_allowed(field, fault->allowed, sizeof(fault->allowed));
	return schema_set_fault(fault, RESULT_SETTING_VALUE, path, name);
}

static enum result schema_check_required(const char *path, const char *prefix,
					 const struct schema_field *field,
					 const json_t *value,
					 struct schema_fault *fault)
{
	char name[128];

	for (; field->name; field++) {
		if (!field->required || json_object_get(value, field->name))
			continue;
		snprintf(name, sizeof(name), "%s%s", prefix, field->name);
		snprintf(fault->reason, sizeof(fault->reason), "is missing");
		schema_describe_allowed(field, fault->allowed,
					sizeof(fault->allowed));
		return schema_set_fault(fault, RESULT_SETTING_VALUE, path,
					name);
	}
	return RESULT_OK;
}

static enum result schema_check_fields(const char *path, const char *prefix,
				       const struct schema_field *fields,
				       const json_t *value,
				       struct schema_fault *fault)
{
	const char *key;
	json_t *item;

	json_object_foreach((json_t *)value, key, item) {
		const struct schema_field *field;
		char name[128];
		enum result code;

		snprintf(name, sizeof(name), "%s%s", prefix, key);
		field = schema_find_field(fields, key);
		if (!field)
			return schema_unknown_field(path, name, fields, fault);
		code = schema_check_field(path, name, field, item, fault);
		if (code != RESULT_OK)
			return code;
	}
	return schema_check_required(path, prefix, fields, value, fault);
}

static enum result schema_unknown_path(const char *path,
				       struct schema_fault *fault)
{
	snprintf(fault->reason, sizeof(fault->reason), "no such path");
	snprintf(fault->allowed, sizeof(fault->allowed), "%s",
		 SCHEMA_PATHS_TEXT);
	return schema_set_fault(fault, RESULT_SETTING_UNKNOWN, path, "");
}

/*
 * Whether each path component that matches '*' is a valid name; if not, `name`
 * gets the invalid one.
 */
static bool schema_names_are_valid(const char *pattern, const char *path,
				   char name[RULE_NAME_SIZE])
{
	while (*pattern) {
		size_t len = strcspn(path, "/");

		snprintf(name, RULE_NAME_SIZE, "%.*s", (int)len, path);
		if (*pattern == '*' &&
		    (len >= RULE_NAME_SIZE || !schema_is_name(name)))
			return false;
		path += len + (path[len] == '/');
		pattern += strcspn(pattern, "/");
		pattern += *pattern == '/';
	}
	return true;
}

enum result schema_check(const char *path, const json_t *value,
			 struct schema_fault *fault)
{
	size_t len;
	const struct schema_row *row = schema_find_row(path, &len);
	char name[RULE_NAME_SIZE];

	memset(fault, 0, sizeof(*fault));
	if (!row || path[len])
		return schema_unknown_path(path, fault);
	if (!schema_names_are_valid(row->pattern, path, name)) {
		snprintf(fault->reason, sizeof(fault->reason),
			 "\"%s\" is no name", name);
		snprintf(fault->allowed, sizeof(fault->allowed), "%s",
			 SCHEMA_NAME_RULE);
		return schema_set_fault(fault, RESULT_SETTING_VALUE, path, "");
	}
	if (!json_is_object(value)) {
		snprintf(fault->reason, sizeof(fault->reason),
			 "is not an object");
		snprintf(fault->allowed, sizeof(fault->allowed),
			 "an object of fields");
		return schema_set_fault(fault, RESULT_SETTING_VALUE, path, "");
	}
	return schema_check_fields(path, "", row->fields, value, fault);
}

void schema_fault_format(const struct schema_fault *fault, char *text,
			 size_t size)
{
	snprintf(text, size, "%s: %s%s%s; allowed: %s", fault->path,
		 fault->field, *fault->field ? " " : "", fault->reason,
		 fault->allowed);
}

static void schema_describe_fields(const struct schema_field *fields,
				   const char *prefix, struct bytes *out)
{
	for (; fields->name; fields++) {
		char allowed[256];
		char fallback[32] = "";

		schema_describe_allowed(fields, allowed, sizeof(allowed));
		if (fields->required)
			snprintf(fallback, sizeof(fallback), "required");
		else if (fields->kind == VALUE_BOOL)
			snprintf(fallback, sizeof(fallback), "%s",
				 fields->fallback != 0 ? "true" : "false");
		else if (fields->kind <= VALUE_REAL)
			snprintf(fallback, sizeof(fallback), "%.10g",
				 fields->fallback);
		bytes_append_format(out, "| `%s%s` | %s | %s | %s |\n", prefix,
				    fields->name, allowed, fallback,
				    fields->purpose);
		if (fields->item)
			schema_describe_fields(fields->item, "- ", out);
	}
}

char *schema_describe(void)
{
	struct bytes out = { 0 };
	const struct schema_row *row;

	for (row = schema_rows; row->pattern; row++) {
		bytes_append_format(&out, "## `%s`\n\n%s\n\n", row->pattern,
				    row->purpose);
		bytes_append_text(&out, "| Field | Allowed | Default | "
					"Purpose |\n|---|---|---|---|\n");
		schema_describe_fields(row->fields, "", &out);
		bytes_append_text(&out, "\n");
	}
	bytes_text(&out);
	return out.data;
}
