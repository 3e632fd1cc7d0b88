#include <stdio.h>
#include <stdlib.h>

#include "agree/yaml.h"
#include "base/cleanup.h"
#include "cli/options.h"

/* Check files of the settings tree as the daemon would, without one. */
static const struct option_set check_options = {
	.usage = "FILE...",
	.summary = "check settings files offline",
};

static int check_file(struct cli *cli, const char *path)
{
	struct error_handler errors = cli_errors(cli);
	enum result code = RESULT_BAD_REQUEST;
	cleanup(free_ptr) char *text = NULL;
	json_t *values = NULL;
	size_t len;

	text = cli_read_file(cli, path, &len);
	if (text)
		code = yaml_read_settings(path, text, len, &values, &errors);
	if (!code)
		printf("%s: %zu paths, good\n", path, json_object_size(values));
	json_decref(values);
	return code ? cli_exit_status(code) : 0;
}

int cli_check(struct cli *cli, int argc, char **argv)
{
	json_t *args = options_read_rest(&check_options, "files", argc, argv);
	const json_t *files = json_object_get(args, "files");
	int status = 0;
	int of_file;
	json_t *file;
	size_t i;

	if (!files)
		status = cli_fail(cli, RESULT_BAD_REQUEST,
				  "check: FILE... is needed");
	json_array_foreach(files, i, file) {
		of_file = check_file(cli, json_string_value(file));
		if (of_file)
			status = of_file;
	}
	json_decref(args);
	return status;
}
