#include "agree/yaml.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "agree/schema.h"
#include "agree/settings.h"
#include "base/cleanup.h"
#include "base/yaml.h"

#define SETTINGS_PATH_SIZE 256

/* A file of settings that is being read. */
struct settings_file {
	const char *name;
	const struct error_handler *handler;
	enum result code;
	json_t *values;
	json_t *places; /**< "PATH" or "PATH FIELD" to "LINE:COLUMN" */
};

static void settings_file_init(struct settings_file *file, const char *name,
			       const struct error_handler *handler)
{
	memset(file, 0, sizeof(*file));
	file->name = name;
	file->handler = handler;
	file->values = json_object();
	file->places = json_object();
}

static void settings_file_clear(struct settings_file *file)
{
	json_decref(file->values);
	json_decref(file->places);
}

static json_t *yaml_scalar_json(const struct yaml *yaml)
{
	int64_t whole;
	double real;
	bool flag;

	if (yaml->quoted)
		return json_string(yaml->text);
	if (!*yaml->text || !strcmp(yaml->text, "~") ||
	    !strcasecmp(yaml->text, "null"))
		return json_null();
	if (yaml_bool(yaml, &flag))
		return json_boolean(flag);
	if (yaml_int(yaml, &whole))
		return json_integer(whole);
	if (strpbrk(yaml->text, "0123456789") && yaml_real(yaml, &real))
		return json_real(real);
	return json_string(yaml->text);
}

static json_t *yaml_json(const struct yaml *yaml)
{
	const struct yaml *child;
	json_t *value;

	if (yaml->kind == YAML_SCALAR)
		return yaml_scalar_json(yaml);
	if (yaml->kind == YAML_LIST) {
		value = json_array();
		yaml_foreach(child, yaml)
			json_array_append_new(value, yaml_json(child));
		return value;
	}
	value = json_object();
	yaml_foreach(child, yaml)
		json_object_set_new(value, child->key, yaml_json(child));
	return value;
}

/* Record the position of `path`, or of a field of its object, in the file. */
static void settings_file_record_position(struct settings_file *file,
					  const struct yaml *yaml,
					  const char *path, const char *field)
{
	char name[2 * SETTINGS_PATH_SIZE];
	char place[32];

	snprintf(name, sizeof(name), "%s%s%s", path, *field ? " " : "", field);
	snprintf(place, sizeof(place), "%d:%d", yaml->line, yaml->column);
	json_object_set_new(file->places, name, json_string(place));
}

/*
 * Record the position of each field, under its name in messages:
 * "routes[2].class".
 */
static void settings_file_record_fields(struct settings_file *file,
					const struct yaml *yaml,
					const char *path, const char *prefix)
{
	const struct yaml *child;
	char field[SETTINGS_PATH_SIZE];
	size_t i = 0;

	yaml_foreach(child, yaml) {
		if (yaml->kind == YAML_LIST)
			snprintf(field, sizeof(field), "%s[%zu]", prefix, i++);
		else
			snprintf(field, sizeof(field), "%s%s%s", prefix,
				 *prefix ? "." : "", child->key);
		settings_file_record_position(file, child, path, field);
		settings_file_record_fields(file, child, path, field);
	}
}

static const char *settings_file_place(const struct settings_file *file,
				       const char *path, const char *field)
{
	char name[2 * SETTINGS_PATH_SIZE];
	const char *place;

	snprintf(name, sizeof(name), "%s %s", path, field);
	place = json_string_value(json_object_get(file->places, name));
	if (!place)
		place = json_string_value(json_object_get(file->places, path));
	return place ? place : "1:1";
}

static void settings_file_report(struct settings_file *file,
				 const struct schema_fault *fault)
{
	char text[1152];

	schema_fault_format(fault, text, sizeof(text));
	file->code = fault->code;
	error_report(file->handler, fault->code, "%s:%s: %s", file->name,
		     settings_file_place(file, fault->path, fault->field),
		     text);
}

static void settings_file_add_object(struct settings_file *file,
				     const struct yaml *yaml, const char *path)
{
	struct schema_fault fault;
	json_t *value = yaml_json(yaml);

	settings_file_record_fields(file, yaml, path, "");
	if (!json_is_null(value) &&
	    schema_check(path, value, &fault) != RESULT_OK)
		settings_file_report(file, &fault);
	json_object_set_new(file->values, path, value);
}

/* Descend to the paths at which the schema has settings objects. */
static void settings_file_walk(struct settings_file *file,
			       const struct yaml *yaml, const char *path)
{
	const struct yaml *child;
	struct schema_fault fault;

	yaml_foreach(child, yaml) {
		char below[SETTINGS_PATH_SIZE];

		snprintf(below, sizeof(below), "%s%s%s", path, *path ? "/" : "",
			 child->key);
		settings_file_record_position(file, child, below, "");
		if (schema_object_length(below) == strlen(below)) {
			settings_file_add_object(file, child, below);
		} else if (schema_is_prefix(below) && child->kind == YAML_MAP) {
			settings_file_walk(file, child, below);
		} else {
			schema_check(below, NULL, &fault);
			settings_file_report(file, &fault);
		}
	}
}

static enum result settings_file_read(struct settings_file *file,
				      const char *text, size_t len)
{
	cleanup(yaml_cleanup) struct yaml *root = NULL;

	file->code = yaml_parse(&root, file->name, text, len, file->handler);
	if (file->code != RESULT_OK)
		return file->code;
	if (root->kind == YAML_MAP)
		settings_file_walk(file, root, "");
	else
		file->code =
			error_report(file->handler, RESULT_SETTING_VALUE,
				     "%s:1:1: no tree of settings", file->name);
	return file->code;
}

enum result yaml_read_settings(const char *name, const char *text, size_t len,
			       json_t **values,
			       const struct error_handler *handler)
{
	cleanup(settings_file_clear) struct settings_file file;

	*values = NULL;
	settings_file_init(&file, name, handler);
	if (settings_file_read(&file, text, len) == RESULT_OK)
		*values = json_incref(file.values);
	return file.code;
}

/*
 * Report a message of the settings tree, "PATH: FIELD ...", with its position.
 */
static void settings_file_report_tree_fault(void *data, enum result code,
					    const char *message)
{
	struct settings_file *file = data;
	char path[SETTINGS_PATH_SIZE];
	char field[SETTINGS_PATH_SIZE] = "";
	size_t len = strcspn(message, ":");

	snprintf(path, sizeof(path), "%.*s", (int)len, message);
	if (message[len])
		snprintf(field, sizeof(field), "%.*s",
			 (int)strcspn(message + len + 2, " "),
			 message + len + 2);
	file->code = code;
	error_report(file->handler, code, "%s:%s: %s", file->name,
		     settings_file_place(file, path, field), message);
}

enum result yaml_check_settings(const char *name, const char *text, size_t len,
				const struct error_handler *handler)
{
	cleanup(settings_file_clear) struct settings_file file;
	struct error_handler cross = { settings_file_report_tree_fault, &file };
	struct settings_author author = { .index = 1 };
	struct settings *settings;
	json_t *answer;

	settings_file_init(&file, name, handler);
	if (settings_file_read(&file, text, len) != RESULT_OK)
		return file.code;
	settings = settings_new();
	answer = json_object();
	settings_change_values(settings, file.values, NULL, &author, answer,
			       &cross);
	json_decref(answer);
	settings_free(settings);
	return file.code;
}

enum result yaml_read(const char *name, const char *text, size_t len,
		      json_t **value, const struct error_handler *handler)
{
	cleanup(yaml_cleanup) struct yaml *root = NULL;
	enum result code = yaml_parse(&root, name, text, len, handler);

	*value = code == RESULT_OK ? yaml_json(root) : NULL;
	return code;
}
