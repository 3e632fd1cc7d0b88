#include <stdio.h>
#include <stdlib.h>

#include "agree/yaml.h"
#include "base/cleanup.h"
#include "cli/cli.h"

/* Check files of the settings tree as the daemon would, without one. */
int cli_check(struct cli *cli, int argc, char **argv)
{
	struct error_handler errors = cli_errors(cli);
	int status = 0;
	int i;

	if (argc < 2)
		return cli_fail(cli, RESULT_BAD_REQUEST,
				"check: FILE... is needed");
	for (i = 1; i < argc; i++) {
		cleanup(free_ptr) char *text = NULL;
		json_t *values = NULL;
		enum result code = RESULT_BAD_REQUEST;
		size_t len;

		text = cli_read_file(cli, argv[i], &len);
		if (text)
			code = yaml_read_settings(argv[i], text, len, &values,
						  &errors);
		if (code)
			status = cli_exit_status(code);
		else
			printf("%s: %zu paths, good\n", argv[i],
			       json_object_size(values));
		json_decref(values);
	}
	return status;
}
