#include "agree/admin.h"

#include <string.h>

#include "agree/codec.h"
#include "agree/rules.h"
#include "base/alloc.h"
#include "base/cleanup.h"

#define ADMIN_HISTORY_LIMIT 20

static json_t *admin_settings_get(const struct agreed *agreed,
				  const json_t *args, const struct key *key)
{
	return json_pack("{so}", "settings",
			 settings_list(agreed_settings(agreed),
				       codec_text(args, "path", "")));
}

static json_t *admin_settings_diff(const struct agreed *agreed,
				   const json_t *args, const struct key *key)
{
	return json_pack("{so}", "diff",
			 settings_diff(agreed_settings(agreed),
				       json_object_get(args, "values")));
}

static json_t *admin_settings_history(const struct agreed *agreed,
				      const json_t *args, const struct key *key)
{
	int64_t limit = codec_int(args, "limit", ADMIN_HISTORY_LIMIT);

	return json_pack("{so}", "history",
			 settings_history(agreed_settings(agreed),
					  codec_text(args, "path", ""),
					  limit > 0 ? (size_t)limit : 0));
}

/* The keys that an operator may change. */
struct admin_key_list {
	const struct settings *settings;
	const struct key *by;
	const char *organisation;
	json_t *keys;
};

static void admin_list_key(void *data, const struct key *key)
{
	struct admin_key_list *list = data;
	const struct organisation_rule *rule =
		rules_organisation(list->settings, key->organisation);
	cleanup(free_ptr) char *path = NULL;

	if (*list->organisation &&
	    strcmp(key->organisation, list->organisation) != 0)
		return;
	path = rule ? xstrfmt("team/%s/organisation/%s", rule->team,
			      key->organisation)
		    : xstrdup(key->subtree);
	if (key_covers_path(list->by, path) == RESULT_OK)
		json_array_append_new(list->keys, key_describe(key));
}

static json_t *admin_key_list(const struct agreed *agreed, const json_t *args,
			      const struct key *key)
{
	struct admin_key_list list = {
		.settings = agreed_settings(agreed),
		.by = key,
		.organisation = codec_text(args, "organisation", ""),
		.keys = json_array(),
	};

	keys_visit(agreed_keys(agreed), admin_list_key, &list);
	return json_pack("{so}", "keys", list.keys);
}

static const struct {
	const char *name;
	enum admin_kind kind;
	json_t *(*read)(const struct agreed *agreed, const json_t *args,
			const struct key *key);
} admin_commands[] = {
	{ "settings-set", ADMIN_WRITE, NULL },
	{ "settings-delete", ADMIN_WRITE, NULL },
	{ "settings-apply", ADMIN_WRITE, NULL },
	{ "settings-revert", ADMIN_WRITE, NULL },
	{ "key-grant", ADMIN_WRITE, NULL },
	{ "key-limit", ADMIN_WRITE, NULL },
	{ "key-withdraw", ADMIN_WRITE, NULL },
	{ "settings-get", ADMIN_READ, admin_settings_get },
	{ "settings-diff", ADMIN_READ, admin_settings_diff },
	{ "settings-history", ADMIN_READ, admin_settings_history },
	{ "key-list", ADMIN_READ, admin_key_list },
};

#define ADMIN_COMMANDS (sizeof(admin_commands) / sizeof(admin_commands[0]))

enum admin_kind admin_kind(const char *command)
{
	size_t i;

	for (i = 0; i < ADMIN_COMMANDS; i++)
		if (!strcmp(admin_commands[i].name, command))
			return admin_commands[i].kind;
	return ADMIN_OTHER;
}

static enum result admin_parse(const struct bytes *body, json_t **args,
			       const struct error_handler *handler)
{
	json_error_t error = { .text = "" };

	*args = body->len ? json_loadb(body->data, body->len,
				       JSON_REJECT_DUPLICATES, &error)
			  : json_object();
	if (!*args)
		return error_report(handler, RESULT_BAD_REQUEST,
				    "arguments: %s at byte %d", error.text,
				    error.position);
	if (!json_is_object(*args))
		return error_report(handler, RESULT_BAD_REQUEST,
				    "arguments: not a JSON object");
	return RESULT_OK;
}

static enum result admin_check_key(const struct key *key,
				   const struct error_handler *handler)
{
	if (!key)
		return error_report(handler, RESULT_KEY_UNKNOWN, "%s",
				    result_text(RESULT_KEY_UNKNOWN));
	if (!key->operates)
		return error_report(handler, RESULT_PATH_FORBIDDEN,
				    "this is not an operator's key");
	return RESULT_OK;
}

static void admin_decref_args(json_t **args)
{
	json_decref(*args);
}

enum result admin_entry(const struct agreed *agreed, const char *command,
			const struct bytes *body, const struct key *key,
			const struct entry_head *head, struct bytes *out,
			const struct error_handler *handler)
{
	cleanup(admin_decref_args) json_t *args = NULL;
	cleanup(free_ptr) char *change_id = NULL;
	struct entry_head full = *head;
	enum result code = admin_check_key(key, handler);

	if (code == RESULT_OK && admin_kind(command) != ADMIN_WRITE)
		code = error_report(handler, RESULT_BAD_REQUEST,
				    "%s: no such command", command);
	if (code == RESULT_OK)
		code = admin_parse(body, &args, handler);
	if (code != RESULT_OK)
		return code;
	change_id = xstrdup(codec_text(args, "change_id", NULL));
	json_object_del(args, "change_id");
	if (change_id)
		full.change_id = change_id;
	full.operator_id = key->id;
	entry_admin(out, &full, command, args);
	return RESULT_OK;
}

static void admin_collect(void *data, enum result code, const char *message)
{
	struct bytes *collected = data;

	if (collected->len)
		bytes_append_text(collected, "; ");
	bytes_append_text(collected, message);
}

static json_t *admin_run_read(const struct agreed *agreed, const char *command,
			      const json_t *args, const struct key *key)
{
	size_t i;

	for (i = 0; i < ADMIN_COMMANDS; i++)
		if (admin_commands[i].read &&
		    !strcmp(admin_commands[i].name, command))
			return admin_commands[i].read(agreed, args, key);
	return json_object();
}

enum result admin_read(const struct agreed *agreed, const char *command,
		       const struct bytes *body, const struct key *key,
		       json_t **answer)
{
	cleanup(admin_decref_args) json_t *args = NULL;
	cleanup(bytes_clear) struct bytes message = { 0 };
	struct error_handler handler = { admin_collect, &message };
	enum result code = admin_check_key(key, &handler);

	if (code == RESULT_OK && admin_kind(command) != ADMIN_READ)
		code = error_report(&handler, RESULT_BAD_REQUEST,
				    "%s: no such command", command);
	if (code == RESULT_OK)
		code = admin_parse(body, &args, &handler);
	*answer = code == RESULT_OK ? admin_run_read(agreed, command, args, key)
				    : json_object();
	json_object_set_new(*answer, "code", json_integer((json_int_t)code));
	json_object_set_new(*answer, "name", json_string(result_name(code)));
	if (message.len)
		json_object_set_new(*answer, "message",
				    json_string(bytes_text(&message)));
	return code;
}
