#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree/yaml.h"
#include "base/cleanup.h"
#include "cli/settings.h"
#include "cli/verb.h"

const struct option_row cli_settings_change_rows[] = {
	{ "version", "version", OPTION_NUMBER, "N",
	  "only if the path still has this version" },
	{ "change-id", "change_id", OPTION_TEXT, "ID",
	  "of a change sent before, whose answer was lost" },
	{ "wait", "wait", OPTION_FLAG, NULL,
	  "until it is in force on all daemons" },
	{ 0 }
};

static const struct option_row settings_history_rows[] = {
	{ "limit", "limit", OPTION_NUMBER, "N", "changes at most" },
	{ 0 }
};

static const char *const settings_no_names[] = { NULL };
static const char *const settings_path_names[] = { "path", NULL };
static const char *const settings_value_names[] = { "path", "value", NULL };
static const char *const settings_file_names[] = { "file", NULL };
static const char *const settings_version_names[] = { "version", NULL };

static long long settings_number(const json_t *answer, const char *key)
{
	return json_integer_value(json_object_get(answer, key));
}

static void settings_print_wait(const json_t *answer)
{
	long long silent = settings_number(answer, "silent");

	printf("in force on %lld of %lld daemons after %.3f s\n",
	       settings_number(answer, "in_force"),
	       settings_number(answer, "members"),
	       json_real_value(json_object_get(answer, "seconds")));
	if (silent)
		printf("%lld silent, and admitting nothing until %s back\n",
		       silent, silent == 1 ? "it is" : "they are");
}

static int settings_wait(struct cli *cli, int64_t index)
{
	return cli_call_and_print(cli, "settings-wait",
				  json_pack("{s:I}", "index",
					    (json_int_t)index),
				  settings_print_wait);
}

static void settings_print_change(struct cli *cli, int status,
				  const json_t *answer)
{
	const char *message =
		json_string_value(json_object_get(answer, "message"));

	if (cli->json) {
		json_dumpf(answer, stdout, JSON_COMPACT);
		putchar('\n');
	} else if (status) {
		cli_fail(cli,
			 (enum result)json_integer_value(
				 json_object_get(answer, "code")),
			 "%s", message ? message : "refused");
	} else {
		printf("accepted as version %lld%s\n",
		       (long long)json_integer_value(
			       json_object_get(answer, "version")),
		       json_is_true(json_object_get(answer, "repeated"))
			       ? " (it was accepted before)"
			       : "");
	}
}

/* Send a change, and wait for it where that was asked for. */
int cli_settings_send(struct cli *cli, const char *command, json_t *args)
{
	bool wait = options_take_flag(args, "wait");
	json_t *answer;
	int64_t index;
	int status;

	if (!json_object_get(args, "change_id"))
		json_object_set_new(args, "change_id", cli_change_id());
	status = cli_call(cli, command, args, &answer);
	if (!answer)
		return status;
	settings_print_change(cli, status, answer);
	index = json_integer_value(json_object_get(answer, "index"));
	json_decref(answer);
	if (!status && wait)
		status = settings_wait(cli, index);
	return status;
}

static int settings_get(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "settings-get", args, NULL);
}

static int settings_set(struct cli *cli, json_t *args)
{
	cleanup(free_ptr) char *text = options_take_text(args, "value");
	struct error_handler errors = cli_errors(cli);
	json_t *value;
	enum result code;

	code = yaml_read("VALUE", text, strlen(text), &value, &errors);
	if (code) {
		json_decref(args);
		return cli_exit_status(code);
	}
	json_object_set_new(args, "value", value);
	return cli_settings_send(cli, "settings-set", args);
}

static int settings_delete(struct cli *cli, json_t *args)
{
	return cli_settings_send(cli, "settings-delete", args);
}

/* Put a file's values into the arguments; they are checked here already. */
static int settings_load(struct cli *cli, json_t *args)
{
	cleanup(free_ptr) char *path = options_take_text(args, "file");
	cleanup(free_ptr) char *text = NULL;
	struct error_handler errors = cli_errors(cli);
	json_t *values;
	enum result code;
	size_t len;

	text = cli_read_file(cli, path, &len);
	if (!text)
		return cli_exit_status(RESULT_BAD_REQUEST);
	code = yaml_read_settings(path, text, len, &values, &errors);
	if (code)
		return cli_exit_status(code);
	json_object_set_new(args, "values", values);
	return 0;
}

static int settings_apply(struct cli *cli, json_t *args)
{
	int status = settings_load(cli, args);

	if (status) {
		json_decref(args);
		return status;
	}
	return cli_settings_send(cli, "settings-apply", args);
}

static int settings_diff(struct cli *cli, json_t *args)
{
	int status = settings_load(cli, args);

	if (status) {
		json_decref(args);
		return status;
	}
	return cli_call_and_print(cli, "settings-diff", args, NULL);
}

static int settings_history(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "settings-history", args, NULL);
}

static int settings_revert(struct cli *cli, json_t *args)
{
	cleanup(free_ptr) char *text = options_take_text(args, "version");
	char *end;
	long long version = strtoll(text, &end, 10);

	if (*end || version < 1) {
		json_decref(args);
		return cli_fail(cli, RESULT_BAD_REQUEST,
				"VERSION: a number as `settings history` "
				"shows it is needed");
	}
	json_object_set_new(args, "version", json_integer(version));
	return cli_settings_send(cli, "settings-revert", args);
}

static const struct verb settings_verbs[] = {
	{ { "[PATH]", "show the tree, or one path", NULL, settings_path_names,
	    0 },
	  "get",
	  settings_get },
	{ { "PATH VALUE", "set a path to a YAML value",
	    cli_settings_change_rows, settings_value_names, 2 },
	  "set",
	  settings_set },
	{ { "PATH", "delete a path", cli_settings_change_rows,
	    settings_path_names, 1 },
	  "delete",
	  settings_delete },
	{ { "FILE", "apply a YAML file, all of it or nothing",
	    cli_settings_change_rows, settings_file_names, 1 },
	  "apply",
	  settings_apply },
	{ { "FILE", "show what applying a file would change", NULL,
	    settings_file_names, 1 },
	  "diff",
	  settings_diff },
	{ { "[PATH]", "show past changes", settings_history_rows,
	    settings_path_names, 0 },
	  "history",
	  settings_history },
	{ { "VERSION", "undo one change", cli_settings_change_rows + 1,
	    settings_version_names, 1 },
	  "revert",
	  settings_revert },
	{ { NULL, NULL, NULL, settings_no_names, 0 }, NULL, NULL }
};

int cli_settings(struct cli *cli, int argc, char **argv)
{
	return verb_run(cli, settings_verbs, argc, argv);
}
