#include "bench/profile.h"

#include <errno.h>
#include <glib.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/yaml.h"

enum profile_type {
	PROFILE_TEXT,
	PROFILE_INT,
	PROFILE_REAL,
	PROFILE_BOOL,
	PROFILE_KEY_FILE /**< text, read from the file of that name */
};

struct profile_field {
	const char *name;
	enum profile_type type;
	size_t offset;
};

#define ORGANISATION_FIELD(name, type)                                   \
	{                                                                \
#name, type, offsetof(struct profile_organisation, name) \
	}
#define CLASS_FIELD(name, type)                                   \
	{                                                         \
#name, type, offsetof(struct profile_class, name) \
	}

static const struct profile_field organisation_fields[] = {
	ORGANISATION_FIELD(name, PROFILE_TEXT),
	ORGANISATION_FIELD(key, PROFILE_TEXT),
	{ "key_file", PROFILE_KEY_FILE,
	  offsetof(struct profile_organisation, key) },
	ORGANISATION_FIELD(share, PROFILE_REAL),
	{ NULL, PROFILE_TEXT, 0 },
};

static const struct profile_field class_fields[] = {
	CLASS_FIELD(name, PROFILE_TEXT),
	CLASS_FIELD(model, PROFILE_TEXT),
	CLASS_FIELD(service, PROFILE_TEXT),
	CLASS_FIELD(path, PROFILE_TEXT),
	CLASS_FIELD(rate, PROFILE_REAL),
	CLASS_FIELD(prompt_bytes, PROFILE_INT),
	CLASS_FIELD(prefixes, PROFILE_INT),
	CLASS_FIELD(max_tokens, PROFILE_INT),
	CLASS_FIELD(output_tokens, PROFILE_INT),
	CLASS_FIELD(deadline_ms, PROFILE_INT),
	CLASS_FIELD(first_token_ms, PROFILE_INT),
	CLASS_FIELD(whole_ms, PROFILE_INT),
	CLASS_FIELD(stream, PROFILE_BOOL),
	CLASS_FIELD(class_header, PROFILE_BOOL),
	{ NULL, PROFILE_TEXT, 0 },
};

struct profile_reader {
	struct profile *profile;
	const char *file;
	const struct error_handler *handler;
};

static enum result profile_refuse(const struct profile_reader *reader,
				  const struct yaml *at, const char *why)
{
	return error_report(reader->handler, RESULT_SETTING_VALUE,
			    "%s:%d:%d: %s: %s", reader->file, at->line,
			    at->column, at->key ? at->key : "-", why);
}

static bool profile_read_key_file(char **key, const char *name)
{
	char *text = NULL;

	if (!g_file_get_contents(name, &text, NULL, NULL))
		return false;
	free(*key);
	*key = xstrdup(g_strstrip(text));
	g_free(text);
	return true;
}

static bool profile_read_text(char **text, const struct yaml *value)
{
	if (value->kind != YAML_SCALAR)
		return false;
	free(*text);
	*text = xstrdup(value->text);
	return true;
}

static bool profile_read_value(const struct profile_field *field, void *record,
			       const struct yaml *value)
{
	void *at = (char *)record + field->offset;

	switch (field->type) {
	case PROFILE_TEXT:
		return profile_read_text(at, value);
	case PROFILE_KEY_FILE:
		return value->kind == YAML_SCALAR &&
		       profile_read_key_file(at, value->text);
	case PROFILE_INT:
		return yaml_int(value, at) && *(int64_t *)at >= 0;
	case PROFILE_REAL:
		return yaml_real(value, at) && *(double *)at >= 0;
	case PROFILE_BOOL:
		return yaml_bool(value, at);
	}
	return false;
}

static const struct profile_field *
profile_find_field(const struct profile_field *fields, const char *name)
{
	for (; fields->name; fields++)
		if (!strcmp(fields->name, name))
			return fields;
	return NULL;
}

static enum result profile_read_record(const struct profile_reader *reader,
				       const struct profile_field *fields,
				       void *record, const struct yaml *map)
{
	const struct yaml *value;

	if (map->kind != YAML_MAP)
		return profile_refuse(reader, map, "a map is needed");
	yaml_foreach(value, map) {
		const struct profile_field *field =
			profile_find_field(fields, value->key);

		if (!field)
			return profile_refuse(reader, value, "no such field");
		if (!profile_read_value(field, record, value))
			return profile_refuse(reader, value,
					      "value not allowed");
	}
	return RESULT_OK;
}

static enum result
profile_read_organisation(const struct profile_reader *reader,
			  const struct yaml *map)
{
	struct profile_organisation *organisation =
		xcalloc(1, sizeof(*organisation));
	enum result code;

	organisation->share = 1;
	list_append(&reader->profile->organisations, &organisation->node);
	code = profile_read_record(reader, organisation_fields, organisation,
				   map);
	if (code)
		return code;
	if (!organisation->name)
		return profile_refuse(reader, map, "a name is needed");
	return RESULT_OK;
}

static enum result profile_read_class(const struct profile_reader *reader,
				      const struct yaml *map)
{
	struct profile_class *class = xcalloc(1, sizeof(*class));
	enum result code;

	class->rate = 1;
	class->prompt_bytes = 200;
	class->prefixes = 1;
	class->class_header = true;
	list_append(&reader->profile->classes, &class->node);
	code = profile_read_record(reader, class_fields, class, map);
	if (code)
		return code;
	if (!class->name)
		return profile_refuse(reader, map, "a name is needed");
	if (!class->model == !class->service)
		return profile_refuse(reader, map,
				      "a model or a service is needed");
	return RESULT_OK;
}

typedef enum result (*profile_item_fn)(const struct profile_reader *reader,
				       const struct yaml *map);

static enum result profile_read_list(const struct profile_reader *reader,
				     const struct yaml *list,
				     profile_item_fn read)
{
	const struct yaml *item;

	if (list->kind != YAML_LIST)
		return profile_refuse(reader, list, "a list is needed");
	yaml_foreach(item, list) {
		enum result code = read(reader, item);

		if (code)
			return code;
	}
	return RESULT_OK;
}

static enum result profile_read_root(const struct profile_reader *reader,
				     const struct yaml *root)
{
	const struct yaml *value;
	enum result code = RESULT_OK;

	if (root->kind != YAML_MAP)
		return profile_refuse(reader, root, "a map is needed");
	yaml_foreach(value, root) {
		if (!strcmp(value->key, "organisations"))
			code = profile_read_list(reader, value,
						 profile_read_organisation);
		else if (!strcmp(value->key, "classes"))
			code = profile_read_list(reader, value,
						 profile_read_class);
		else
			code = profile_refuse(reader, value, "no such field");
		if (code)
			return code;
	}
	if (list_empty(&reader->profile->classes) ||
	    list_empty(&reader->profile->organisations))
		return profile_refuse(reader, root,
				      "organisations and classes are needed");
	return RESULT_OK;
}

enum result profile_read(struct profile *profile, const char *file,
			 const struct error_handler *handler)
{
	struct profile_reader reader = { profile, file, handler };
	cleanup(yaml_cleanup) struct yaml *root = NULL;
	char *text = NULL;
	gsize len = 0;
	enum result code;

	list_init(&profile->organisations);
	list_init(&profile->classes);
	if (!g_file_get_contents(file, &text, &len, NULL))
		return error_report(handler, RESULT_NOT_FOUND, "%s: %s", file,
				    strerror(errno));
	code = yaml_parse(&root, file, text, len, handler);
	g_free(text);
	return code ? code : profile_read_root(&reader, root);
}

void profile_clear(struct profile *profile)
{
	struct profile_organisation *organisation;
	struct profile_class *class;

	while ((organisation = list_first(&profile->organisations,
					  struct profile_organisation, node))) {
		list_remove(&organisation->node);
		free(organisation->name);
		free(organisation->key);
		free(organisation);
	}
	while ((class = list_first(&profile->classes, struct profile_class,
				   node))) {
		list_remove(&class->node);
		free(class->name);
		free(class->model);
		free(class->service);
		free(class->path);
		free(class);
	}
}
