#include "cli/options.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

#define OPTIONS_MOST 32
#define OPTIONS_FIRST_KEY 0x100

struct options_state {
	const struct option_set *set;
	json_t *args;
	int n_positional;
	const char *rest; /* key of the list of further ones, or NULL */
};

static void options_add_number(struct argp_state *state, json_t *args,
			       const struct option_row *row, const char *text)
{
	char *end;
	long long value;

	errno = 0;
	value = strtoll(text, &end, 10);
	if (errno || *end || !*text)
		argp_error(state, "--%s: a whole number is needed", row->name);
	json_object_set_new(args, row->key, json_integer(value));
}

static void options_add_list(json_t *args, const char *key, const char *text)
{
	json_t *list = json_object_get(args, key);

	if (!list) {
		list = json_array();
		json_object_set_new(args, key, list);
	}
	json_array_append_new(list, json_string(text));
}

static void options_add(struct argp_state *state, json_t *args,
			const struct option_row *row, const char *text)
{
	switch (row->type) {
	case OPTION_TEXT:
		json_object_set_new(args, row->key, json_string(text));
		break;
	case OPTION_NUMBER:
		options_add_number(state, args, row, text);
		break;
	case OPTION_LIST:
		options_add_list(args, row->key, text);
		break;
	case OPTION_FLAG:
		json_object_set_new(args, row->key, json_true());
		break;
	}
}

static error_t options_parse(int key, char *arg, struct argp_state *state)
{
	struct options_state *options = state->input;
	const struct option_set *set = options->set;

	if (key >= OPTIONS_FIRST_KEY &&
	    key < OPTIONS_FIRST_KEY + OPTIONS_MOST) {
		options_add(state, options->args,
			    &set->rows[key - OPTIONS_FIRST_KEY], arg);
		return 0;
	}
	if (key == ARGP_KEY_ARG) {
		bool named = set->positional &&
			     set->positional[options->n_positional];

		if (!named && options->rest) {
			options_add_list(options->args, options->rest, arg);
			return 0;
		}
		if (!named) {
			argp_error(state, "no such argument: %s", arg);
			return EINVAL;
		}
		json_object_set_new(options->args,
				    set->positional[options->n_positional++],
				    json_string(arg));
		return 0;
	}
	if (key == ARGP_KEY_END) {
		if (options->n_positional < set->required)
			argp_error(state, "%s is missing",
				   set->positional[options->n_positional]);
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

json_t *options_read_rest(const struct option_set *set, const char *rest,
			  int argc, char **argv)
{
	struct argp_option table[OPTIONS_MOST + 1] = { 0 };
	struct options_state state = { set, json_object(), 0, rest };
	/* glibc's help leaks two bytes over a table without options. */
	const struct argp_option *options = set->rows ? table : NULL;
	struct argp argp = { options, options_parse, set->usage, set->summary,
			     NULL,    NULL,	     NULL };
	int i;

	for (i = 0; set->rows && set->rows[i].name && i < OPTIONS_MOST; i++) {
		table[i].name = set->rows[i].name;
		table[i].key = OPTIONS_FIRST_KEY + i;
		table[i].arg = set->rows[i].argument;
		table[i].doc = set->rows[i].help;
	}
	argp_parse(&argp, argc, argv, 0, NULL, &state);
	return state.args;
}

json_t *options_read(const struct option_set *set, int argc, char **argv)
{
	return options_read_rest(set, NULL, argc, argv);
}

char *options_take_text(json_t *args, const char *key)
{
	char *text = xstrdup(json_string_value(json_object_get(args, key)));

	json_object_del(args, key);
	return text;
}

bool options_take_flag(json_t *args, const char *key)
{
	bool flag = json_is_true(json_object_get(args, key));

	json_object_del(args, key);
	return flag;
}
