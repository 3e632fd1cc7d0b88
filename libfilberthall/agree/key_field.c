#include "agree/key_field.h"

#include <stdbool.h>
#include <string.h>

#include "agree/codec.h"
#include "core/rule.h"

#define KEY_LIMIT_MAX 1000000000

/* The type of a key's JSON field. */
enum key_field_kind { KEY_TEXT, KEY_FLAG, KEY_NUMBER, KEY_LIST };

static const struct key_field {
	const char *name;
	enum key_field_kind kind;
	size_t max_len;
} key_fields[] = {
	{ "id", KEY_TEXT, RULE_NAME_SIZE - 1 },
	{ "hash", KEY_TEXT, KEY_HASH_LEN },
	{ "organisation", KEY_TEXT, RULE_NAME_SIZE - 1 },
	{ "default_class", KEY_TEXT, RULE_NAME_SIZE - 1 },
	{ "subtree", KEY_TEXT, RULE_PATH_SIZE - 1 },
	{ "caller", KEY_FLAG, 0 },
	{ "operates", KEY_FLAG, 0 },
	{ "classes", KEY_LIST, RULE_NAME_SIZE - 1 },
	{ "models", KEY_LIST, RULE_NAME_SIZE - 1 },
	{ "services", KEY_LIST, RULE_NAME_SIZE - 1 },
	{ "max_concurrent", KEY_NUMBER, 0 },
	{ "requests_per_min", KEY_NUMBER, 0 },
};

#define KEY_N_FIELDS (sizeof(key_fields) / sizeof(key_fields[0]))

static bool key_list_is_valid(const json_t *list, size_t max_len)
{
	const json_t *item;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > RULE_SCOPES)
		return false;
	json_array_foreach(list, i, item)
		if (!json_is_string(item) || !json_string_length(item) ||
		    json_string_length(item) > max_len)
			return false;
	return true;
}

static const char *key_field_fault(const struct key_field *field,
				   const json_t *value)
{
	switch (field->kind) {
	case KEY_TEXT:
		if (json_is_string(value) &&
		    json_string_length(value) <= field->max_len)
			return NULL;
		return "must be a string, and not too long";
	case KEY_FLAG:
		return json_is_boolean(value) ? NULL : "must be true or false";
	case KEY_NUMBER:
		if (json_is_integer(value) && json_integer_value(value) >= 0 &&
		    json_integer_value(value) <= KEY_LIMIT_MAX)
			return NULL;
		return "must be a whole number from 0 to 1000000000";
	case KEY_LIST:
		if (key_list_is_valid(value, field->max_len))
			return NULL;
		return "must be a list of at most 16 names";
	}
	return "is not known";
}

static const struct key_field *key_find_field(const char *name)
{
	size_t i;

	for (i = 0; i < KEY_N_FIELDS; i++)
		if (!strcmp(key_fields[i].name, name))
			return &key_fields[i];
	return NULL;
}

enum result key_check_fields(const json_t *args,
			     const struct error_handler *handler)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)args, name, value) {
		const struct key_field *field = key_find_field(name);
		const char *fault = field ? key_field_fault(field, value)
					  : "is not a field of a key";

		if (fault)
			return error_report(handler, RESULT_BAD_REQUEST,
					    "key: %s %s", name, fault);
	}
	return RESULT_OK;
}

enum result key_check_identity(const json_t *args,
			       const struct error_handler *handler)
{
	const char *hash = codec_text(args, "hash", "");

	if (!*codec_text(args, "id", ""))
		return error_report(handler, RESULT_BAD_REQUEST,
				    "key: id is missing");
	if (strlen(hash) != KEY_HASH_LEN ||
	    strspn(hash, "0123456789abcdef") != KEY_HASH_LEN)
		return error_report(handler, RESULT_BAD_REQUEST,
				    "key: hash must be %d hex digits",
				    KEY_HASH_LEN);
	return RESULT_OK;
}
