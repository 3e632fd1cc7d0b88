#include <stdlib.h>
#include <string.h>

#include "agree/agreed.h"
#include "agree/codec.h"
#include "agree/rules.h"
#include "agree/setting.h"
#include "base/alloc.h"
#include "base/cleanup.h"

/* An operator's command that is being applied. */
struct command {
	struct agreed *agreed;
	const struct key *by;
	json_t *args;
	json_t *answer;
	struct apply_result *result;
	struct settings_author author;
	struct error_handler handler;
	struct bytes message;
};

static void command_report(void *data, enum result code, const char *message)
{
	struct bytes *collected = data;

	if (collected->len)
		bytes_append_text(collected, "; ");
	bytes_append_text(collected, message);
}

static enum result command_forbidden(const struct command *command,
				     const char *path)
{
	return error_report(&command->handler, RESULT_PATH_FORBIDDEN,
			    "%s: your key is limited to \"%s\"", path,
			    command->by->subtree);
}

static enum result command_check_path(const struct command *command,
				      const char *path)
{
	if (key_covers_path(command->by, path) == RESULT_OK)
		return RESULT_OK;
	return command_forbidden(command, path);
}

/* Record a changed path for the reducer. */
static void command_record_path(struct command *command, const char *path)
{
	static const enum change_kind kinds[RULE_KINDS] = {
		[RULE_CLASS] = CHANGE_CLASS,
		[RULE_ORGANISATION] = CHANGE_ORGANISATION,
		[RULE_SERVICE] = CHANGE_SERVICE,
		[RULE_OTHER] = CHANGE_SITE,
	};
	const struct settings *settings = command->agreed->settings;
	bool removed = !settings_get(settings, path, NULL);
	const char *name;
	enum rule_kind kind = rule_kind_of(path, &name);
	size_t team_len;

	if (kind != RULE_OTHER || !strncmp(path, "site/", 5)) {
		apply_result_add_change(command->result, kinds[kind],
					kind == RULE_OTHER ? path : name, 0,
					removed);
		return;
	}
	team_len = strcspn(path + strlen("team/"), "/");
	{
		cleanup(free_ptr) char *team =
			xmemdup(path + strlen("team/"), team_len);

		apply_result_add_change(command->result, CHANGE_BUDGET, team, 0,
					removed);
	}
}

static void command_record_paths(struct command *command)
{
	const json_t *path;
	size_t i;

	json_array_foreach(json_object_get(command->answer, "paths"), i, path)
		command_record_path(command, json_string_value(path));
	agreed_set_limits(command->agreed);
}

static enum result command_change(struct command *command, const json_t *values,
				  const json_t *versions)
{
	const char *path;
	json_t *value;
	enum result code;

	json_object_foreach((json_t *)values, path, value) {
		code = command_check_path(command, path);
		if (code != RESULT_OK)
			return code;
	}
	code = settings_change_values(command->agreed->settings, values,
				      versions, &command->author,
				      command->answer, &command->handler);
	command_record_paths(command);
	return code;
}

/* Change the path in the arguments; JSON null deletes it. */
static enum result command_change_one(struct command *command, json_t *value)
{
	const char *path = codec_text(command->args, "path", "");
	const json_t *version = json_object_get(command->args, "version");
	json_t *values = json_object();
	json_t *versions = json_object();
	enum result code;

	json_object_set(values, path, value);
	if (json_is_integer(version))
		json_object_set(versions, path, (json_t *)version);
	code = command_change(command, values, versions);
	json_decref(values);
	json_decref(versions);
	return code;
}

static enum result command_settings_set(struct command *command)
{
	json_t *value = json_object_get(command->args, "value");

	if (!value || json_is_null(value))
		return error_report(&command->handler, RESULT_BAD_REQUEST,
				    "value is missing");
	return command_change_one(command, value);
}

/* Whether a path, or a field of its object, is set. */
static bool command_is_set(const struct command *command, const char *path)
{
	size_t len = schema_object_length(path);
	cleanup(free_ptr) char *object = xmemdup(path, len);
	json_t *value = settings_get(command->agreed->settings, object, NULL);

	if (!path[len])
		return value;
	return json_object_get(value, path + len + 1);
}

static enum result command_settings_delete(struct command *command)
{
	const char *path = codec_text(command->args, "path", "");
	json_t *nothing;
	enum result code;

	if (schema_object_length(path) && !command_is_set(command, path))
		return error_report(&command->handler, RESULT_NOT_FOUND,
				    "%s is not set", path);
	nothing = json_null();
	code = command_change_one(command, nothing);
	json_decref(nothing);
	return code;
}

static enum result command_settings_apply(struct command *command)
{
	const json_t *values = json_object_get(command->args, "values");

	if (!json_is_object(values))
		return error_report(&command->handler, RESULT_BAD_REQUEST,
				    "values is missing");
	return command_change(command, values,
			      json_object_get(command->args, "versions"));
}

static enum result command_settings_revert(struct command *command)
{
	int64_t version = codec_int(command->args, "version", -1);
	struct settings *settings = command->agreed->settings;
	json_t *paths = settings_change_paths(settings, version);
	enum result code = RESULT_OK;
	json_t *path;
	size_t i;

	json_array_foreach(paths, i, path) {
		code = command_check_path(command, json_string_value(path));
		if (code != RESULT_OK)
			break;
	}
	json_decref(paths);
	if (code != RESULT_OK)
		return code;
	code = settings_revert(settings, version, &command->author,
			       command->answer, &command->handler);
	command_record_paths(command);
	return code;
}

/*
 * An operator may grant or change a key only if the operator's own key covers
 * everything that this key permits.
 */
static enum result command_check_scope(const struct command *command,
				       const char *organisation, bool operates,
				       const char *subtree)
{
	const struct organisation_rule *rule;
	cleanup(free_ptr) char *path = NULL;

	if (operates && key_covers_path(command->by, subtree) != RESULT_OK)
		return command_forbidden(command, subtree);
	if (!*organisation)
		return RESULT_OK;
	rule = rules_organisation(command->agreed->settings, organisation);
	path = rule ? xstrfmt("team/%s/organisation/%s", rule->team,
			      organisation)
		    : xstrdup("");
	return command_check_path(command, path);
}

static enum result command_check_class(const struct command *command,
				       const char *organisation,
				       const char *class_name)
{
	const struct settings *settings = command->agreed->settings;
	const struct organisation_rule *owner =
		rules_organisation(settings, organisation);
	const struct class_rule *rule = rules_class(settings, class_name);

	if (owner && rule && !strcmp(owner->team, rule->team))
		return RESULT_OK;
	return error_report(&command->handler, RESULT_BAD_REQUEST,
			    "key: \"%s\" is no class of the team of \"%s\"",
			    class_name, organisation);
}

static enum result command_check_classes(const struct command *command,
					 const char *organisation)
{
	const char *standard = codec_text(command->args, "default_class", "");
	enum result code = RESULT_OK;
	const json_t *item;
	size_t i;

	if (*standard)
		code = command_check_class(command, organisation, standard);
	json_array_foreach(json_object_get(command->args, "classes"), i, item)
		if (code == RESULT_OK && json_is_string(item))
			code = command_check_class(command, organisation,
						   json_string_value(item));
	return code;
}

static enum result command_key_grant(struct command *command)
{
	const json_t *args = command->args;
	const char *organisation = codec_text(args, "organisation", "");
	bool operates = json_is_true(json_object_get(args, "operates"));
	enum result code;

	if (!operates &&
	    !rules_organisation(command->agreed->settings, organisation))
		return error_report(&command->handler, RESULT_BAD_REQUEST,
				    "key: there is no organisation \"%s\"",
				    organisation);
	code = command_check_scope(command, organisation, operates,
				   codec_text(args, "subtree", ""));
	if (code == RESULT_OK)
		code = command_check_classes(command, organisation);
	if (code == RESULT_OK)
		code = keys_grant(command->agreed->keys, args,
				  command->author.index, &command->handler);
	if (code == RESULT_OK)
		apply_result_add_change(command->result, CHANGE_KEY,
					codec_text(args, "id", ""), 0, false);
	return code;
}

/* Find the key named in the arguments, if this operator may change it. */
static enum result command_find_key(const struct command *command,
				    const struct key **key)
{
	const char *id = codec_text(command->args, "id", "");

	*key = keys_find_id(command->agreed->keys, id);
	if (!*key)
		return error_report(&command->handler, RESULT_NOT_FOUND,
				    "key: there is no \"%s\"", id);
	return command_check_scope(command, (*key)->organisation,
				   (*key)->operates, (*key)->subtree);
}

static enum result command_key_limit(struct command *command)
{
	const json_t *args = command->args;
	const struct key *key;
	const char *organisation;
	const json_t *operates;
	enum result code = command_find_key(command, &key);

	if (code != RESULT_OK)
		return code;
	organisation = codec_text(args, "organisation", key->organisation);
	operates = json_object_get(args, "operates");
	code = command_check_scope(command, organisation,
				   operates ? json_is_true(operates)
					    : key->operates,
				   codec_text(args, "subtree", key->subtree));
	if (code == RESULT_OK)
		code = command_check_classes(command, organisation);
	if (code == RESULT_OK)
		code = keys_limit(command->agreed->keys, args,
				  command->author.index, &command->handler);
	if (code == RESULT_OK)
		apply_result_add_change(command->result, CHANGE_KEY,
					codec_text(args, "id", ""), 0, false);
	return code;
}

static enum result command_key_withdraw(struct command *command)
{
	const char *id = codec_text(command->args, "id", "");
	const struct key *key;
	enum result code = command_find_key(command, &key);

	if (code != RESULT_OK)
		return code;
	keys_withdraw(command->agreed->keys, id);
	apply_result_add_change(command->result, CHANGE_KEY, id, 0, true);
	return RESULT_OK;
}

static const struct {
	const char *name;
	enum result (*run)(struct command *command);
} commands[] = {
	{ "settings-set", command_settings_set },
	{ "settings-delete", command_settings_delete },
	{ "settings-apply", command_settings_apply },
	{ "settings-revert", command_settings_revert },
	{ "key-grant", command_key_grant },
	{ "key-limit", command_key_limit },
	{ "key-withdraw", command_key_withdraw },
};

static enum result command_run(struct command *command, const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (!strcmp(commands[i].name, name))
			return commands[i].run(command);
	return error_report(&command->handler, RESULT_BAD_REQUEST,
			    "%s: no such command", name);
}

static void command_begin(struct command *command, struct agreed *agreed,
			  const struct entry *entry,
			  struct apply_result *result)
{
	memset(command, 0, sizeof(*command));
	command->agreed = agreed;
	command->result = result;
	command->answer = json_object();
	command->author.index = agreed->index;
	command->author.time_us = entry->head.time_us;
	command->author.by = entry->head.operator_id;
	command->author.change_id = entry->head.change_id;
	command->handler.report = command_report;
	command->handler.data = &command->message;
}

static void command_finish(struct command *command, enum result code)
{
	json_t *answer = command->answer;

	json_object_set_new(answer, "code", json_integer((json_int_t)code));
	json_object_set_new(answer, "name", json_string(result_name(code)));
	json_object_set_new(answer, "index",
			    json_integer(command->agreed->index));
	if (command->message.len)
		json_object_set_new(answer, "message",
				    json_string(bytes_text(&command->message)));
	else if (code != RESULT_OK)
		json_object_set_new(answer, "message",
				    json_string(result_text(code)));
	command->result->code = code;
	command->result->answer = answer;
	bytes_clear(&command->message);
}

/*
 * If the operator sends a command again because the answer was lost, return the
 * first result, whatever has changed since. Returns whether the command was
 * handled here: a resend, or a reused change id.
 */
static bool command_answer_resend(struct command *command, const char *name)
{
	const struct settings_author *author = &command->author;
	const json_t *kept;
	bool same;

	if (!author->change_id)
		return false;
	kept = resends_find(command->agreed->resends, author->by,
			    author->change_id, name, command->args, &same);
	if (!kept)
		return false;
	if (!same) {
		command_finish(command,
			       error_report(&command->handler, RESULT_CONFLICT,
					    "change id \"%s\" was used for "
					    "another command",
					    author->change_id));
		return true;
	}
	json_decref(command->answer);
	command->result->answer = json_deep_copy(kept);
	command->result->code = (enum result)codec_int(kept, "code", 0);
	command->result->repeated = true;
	return true;
}

/*
 * Strings that aren't valid UTF-8 would make it impossible to show the values
 * in JSON answers; no legitimate command needs them.
 */
static bool command_is_valid_utf8(const json_t *body)
{
	cleanup(free_ptr) char *text = json_dumps(body, JSON_COMPACT);

	return text;
}

void agreed_apply_admin(struct agreed *agreed, const struct entry *entry,
			struct apply_result *result)
{
	struct command command;
	const char *name;

	command_begin(&command, agreed, entry, result);
	if (json_unpack(entry->body, "{ss so}", "command", &name, "args",
			&command.args) < 0 ||
	    !json_is_object(command.args) ||
	    !command_is_valid_utf8(entry->body)) {
		command_finish(&command, RESULT_MESSAGE_MALFORMED);
		return;
	}
	if (entry->head.operator_id)
		command.by =
			keys_find_id(agreed->keys, entry->head.operator_id);
	if (!command.by || !command.by->operates) {
		command_finish(&command, RESULT_KEY_UNKNOWN);
		return;
	}
	if (command_answer_resend(&command, name))
		return;
	command_finish(&command, command_run(&command, name));
	if (entry->head.change_id)
		resends_keep(agreed->resends, entry->head.operator_id,
			     entry->head.change_id, name, command.args,
			     result->answer, agreed->time_us);
}

static enum result command_seed(struct command *command, json_t *body)
{
	struct agreed *agreed = command->agreed;
	const json_t *values = json_object_get(body, "values");
	const char *key_id = codec_text(body, "key_id", "");
	json_t *key;
	enum result code;

	if (keys_count(agreed->keys) || settings_count(agreed->settings))
		return RESULT_CONFLICT;
	if (!json_is_object(values) || !command_is_valid_utf8(body))
		return RESULT_MESSAGE_MALFORMED;
	key = json_pack("{ss ss sb}", "id", key_id, "hash",
			codec_text(body, "key_hash", ""), "operates", 1);
	code = keys_grant(agreed->keys, key, agreed->index, &command->handler);
	json_decref(key);
	if (code != RESULT_OK)
		return code;
	code = settings_change_values(agreed->settings, values, NULL,
				      &command->author, command->answer,
				      &command->handler);
	if (code != RESULT_OK)
		keys_withdraw(agreed->keys, key_id);
	return code;
}

void agreed_apply_seed(struct agreed *agreed, const struct entry *entry,
		       struct apply_result *result)
{
	struct command command;

	command_begin(&command, agreed, entry, result);
	command_finish(&command, command_seed(&command, entry->body));
	command_record_paths(&command);
	if (result->code == RESULT_OK)
		apply_result_add_change(result, CHANGE_KEY,
					codec_text(entry->body, "key_id", ""),
					0, false);
}
