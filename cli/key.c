#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "cli/verb.h"

#define KEY_RANDOM_BYTES 32
#define KEY_PREFIX "fh_"

static const struct option_row key_grant_rows[] = {
	{ "organisation", "organisation", OPTION_TEXT, "NAME",
	  "whose requests it permits" },
	{ "class", "classes", OPTION_LIST, "NAME",
	  "a class it permits; without one, all of the team" },
	{ "default-class", "default_class", OPTION_TEXT, "NAME",
	  "class of requests that name none" },
	{ "model", "models", OPTION_LIST, "NAME", "a model it permits" },
	{ "service", "services", OPTION_LIST, "NAME", "a service it permits" },
	{ "max-concurrent", "max_concurrent", OPTION_NUMBER, "N",
	  "requests at once at most" },
	{ "requests-per-min", "requests_per_min", OPTION_NUMBER, "N",
	  "requests a minute at most" },
	{ "operator", "operates", OPTION_FLAG, NULL,
	  "may call operators' commands" },
	{ "subtree", "subtree", OPTION_TEXT, "PATH",
	  "what an operator may change, such as team/calves" },
	{ "change-id", "change_id", OPTION_TEXT, "ID",
	  "of a change sent before, whose answer was lost" },
	{ "secret-file", "secret_file", OPTION_TEXT, "FILE",
	  "grant this key in place of a new one" },
	{ 0 }
};

static const struct option_row key_list_rows[] = {
	{ "organisation", "organisation", OPTION_TEXT, "NAME",
	  "only keys of this one" },
	{ 0 }
};

static const char *const key_id_names[] = { "id", NULL };
static const char *const key_no_names[] = { NULL };

static char *key_generate(void)
{
	unsigned char random[KEY_RANDOM_BYTES];
	char text[sodium_base64_ENCODED_LEN(
		KEY_RANDOM_BYTES, sodium_base64_VARIANT_URLSAFE_NO_PADDING)];

	randombytes_buf(random, sizeof(random));
	sodium_bin2base64(text, sizeof(text), random, sizeof(random),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero(random, sizeof(random));
	return xstrfmt(KEY_PREFIX "%s", text);
}

static char *key_choose(struct cli *cli, json_t *args)
{
	cleanup(free_ptr) char *path = options_take_text(args, "secret_file");
	char *key;

	if (!path)
		return key_generate();
	key = cli_read_file(cli, path, NULL);
	if (key)
		key[strcspn(key, "\r\n")] = '\0';
	return key;
}

static void key_print_code(const json_t *answer)
{
	printf("%s\n", json_is_true(json_object_get(answer, "repeated"))
			       ? "accepted before"
			       : "accepted");
}

/* A key is shown here once and never again: only its hash is kept. */
static int key_grant(struct cli *cli, json_t *args)
{
	cleanup(free_ptr) char *key = NULL;
	json_t *answer;
	int status;

	if (sodium_init() < 0)
		abort();
	key = key_choose(cli, args);
	if (!key) {
		json_decref(args);
		return cli_exit_status(RESULT_BAD_REQUEST);
	}
	json_object_set_new(args, "key", json_string(key));
	if (!json_object_get(args, "change_id"))
		json_object_set_new(args, "change_id", cli_change_id());
	status = cli_call(cli, "key-grant", args, &answer);
	if (answer && status)
		cli_fail(cli,
			 (enum result)json_integer_value(
				 json_object_get(answer, "code")),
			 "%s",
			 json_string_value(json_object_get(answer, "message")));
	else if (answer && cli->json)
		printf("{\"key\":\"%s\"}\n", key);
	else if (answer)
		printf("%s\n", key);
	json_decref(answer);
	return status;
}

static int key_change(struct cli *cli, json_t *args, const char *command)
{
	if (!json_object_get(args, "change_id"))
		json_object_set_new(args, "change_id", cli_change_id());
	return cli_call_and_print(cli, command, args, key_print_code);
}

static int key_limit(struct cli *cli, json_t *args)
{
	return key_change(cli, args, "key-limit");
}

static int key_withdraw(struct cli *cli, json_t *args)
{
	return key_change(cli, args, "key-withdraw");
}

static void key_print_list(const json_t *answer)
{
	static const struct cli_column columns[] = {
		{ "id", "KEY" },
		{ "organisation", "ORGANISATION" },
		{ "default_class", "DEFAULT CLASS" },
		{ "classes", "CLASSES" },
		{ "models", "MODELS" },
		{ "services", "SERVICES" },
		{ "operates", "OPERATOR" },
		{ "subtree", "SUBTREE" },
		{ 0 }
	};

	cli_print_table(json_object_get(answer, "keys"), columns);
}

static int key_list(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "key-list", args, key_print_list);
}

static const struct verb key_verbs[] = {
	{ { "ID", "grant a key and print it, once", key_grant_rows,
	    key_id_names, 1 },
	  "grant",
	  key_grant },
	{ { "ID", "change what a key permits", key_grant_rows, key_id_names,
	    1 },
	  "limit",
	  key_limit },
	{ { "ID", "withdraw a key and end its streams", key_grant_rows + 9,
	    key_id_names, 1 },
	  "withdraw",
	  key_withdraw },
	{ { "", "list keys", key_list_rows, key_no_names, 0 },
	  "list",
	  key_list },
	{ { NULL, NULL, NULL, key_no_names, 0 }, NULL, NULL }
};

int cli_key(struct cli *cli, int argc, char **argv)
{
	return verb_run(cli, key_verbs, argc, argv);
}
