#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "cli/verb.h"

/*
 * Classes and organisations are objects of the settings tree; these commands
 * show all of one kind in one table. They are changed by `settings`.
 */

static const char *const tree_no_names[] = { NULL };

/* The last name of "team/TEAM/KIND/NAME", or NULL if it isn't of the kind. */
static const char *tree_name_of(const char *path, const char *kind)
{
	cleanup(free_ptr) char *middle = xstrfmt("/%s/", kind);
	const char *at = strstr(path, middle);

	return at && !strncmp(path, "team/", 5) ? at + strlen(middle) : NULL;
}

static json_t *tree_rows(const json_t *answer, const char *kind)
{
	json_t *rows = json_array();
	json_t *entry;
	const char *path;

	json_object_foreach(json_object_get(answer, "settings"), path, entry) {
		const char *name = tree_name_of(path, kind);
		json_t *row;

		if (!name)
			continue;
		row = json_deep_copy(json_object_get(entry, "value"));
		if (!json_is_object(row)) {
			json_decref(row);
			continue;
		}
		json_object_set_new(row, "name", json_string(name));
		json_object_set_new(row, "path", json_string(path));
		json_object_set(row, "version",
				json_object_get(entry, "version"));
		json_array_append_new(rows, row);
	}
	return rows;
}

static void tree_print_classes(const json_t *answer)
{
	static const struct cli_column columns[] = {
		{ "name", "CLASS" },
		{ "tier", "TIER" },
		{ "first_token_ms", "FIRST TOKEN MS" },
		{ "inter_token_ms", "INTER TOKEN MS" },
		{ "deadline_ms", "DEADLINE MS" },
		{ "min_share", "MIN SHARE" },
		{ "idempotent", "IDEMPOTENT" },
		{ "reclaimable", "RECLAIMABLE" },
		{ "path", "PATH" },
		{ "version", "VERSION" },
		{ 0 }
	};
	json_t *rows = tree_rows(answer, "class");

	cli_print_table(rows, columns);
	json_decref(rows);
}

static void tree_print_organisations(const json_t *answer)
{
	static const struct cli_column columns[] = {
		{ "name", "ORGANISATION" },
		{ "max_concurrent", "AT ONCE" },
		{ "requests_per_min", "REQUESTS A MIN" },
		{ "tokens_per_min", "TOKENS A MIN" },
		{ "path", "PATH" },
		{ "version", "VERSION" },
		{ 0 }
	};
	json_t *rows = tree_rows(answer, "organisation");

	cli_print_table(rows, columns);
	json_decref(rows);
}

static int tree_list_classes(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "settings-get", args,
				  tree_print_classes);
}

static int tree_list_organisations(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "settings-get", args,
				  tree_print_organisations);
}

static const struct verb tree_class_verbs[] = {
	{ { "", "list classes", NULL, tree_no_names, 0 },
	  "list",
	  tree_list_classes },
	{ { NULL, NULL, NULL, tree_no_names, 0 }, NULL, NULL }
};

static const struct verb tree_organisation_verbs[] = {
	{ { "", "list organisations", NULL, tree_no_names, 0 },
	  "list",
	  tree_list_organisations },
	{ { NULL, NULL, NULL, tree_no_names, 0 }, NULL, NULL }
};

int cli_class(struct cli *cli, int argc, char **argv)
{
	return verb_run(cli, tree_class_verbs, argc, argv);
}

int cli_organisation(struct cli *cli, int argc, char **argv)
{
	return verb_run(cli, tree_organisation_verbs, argc, argv);
}
