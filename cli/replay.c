#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/cleanup.h"
#include "cli/verb.h"
#include "core/core.h"
#include "core/script.h"

/*
 * A recording run through the same reducer, its effects printed. The first
 * line says what the daemon was started with, each other line is an event.
 */

static const char *const replay_names[] = { "file", NULL };

static void replay_print(struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects))) {
		struct bytes line = { 0 };

		script_write_effect(&line, effect);
		fwrite(line.data, 1, line.len, stdout);
		bytes_clear(&line);
		effect_free(effect);
	}
}

static int replay_line(struct cli *cli, struct core **core, char *line,
		       size_t len, long number)
{
	struct error_handler errors = cli_errors(cli);
	struct effects effects;
	struct event *event;
	enum result code;

	effects_init(&effects);
	if (!*core) {
		code = core_read_start(core, line, len, &effects, &errors);
		replay_print(&effects);
		return cli_exit_status(code);
	}
	code = script_read_event(&event, line, len, &errors);
	if (code) {
		fprintf(stderr, "%s: line %ld\n", cli->program, number);
		return cli_exit_status(code);
	}
	core_step(*core, event, event->at_us, &effects);
	replay_print(&effects);
	return 0;
}

int cli_replay(struct cli *cli, int argc, char **argv)
{
	static const struct option_set set = {
		"FILE", "run a recording through the reducer", NULL,
		replay_names, 1
	};
	json_t *args = options_read(&set, argc, argv);
	cleanup(free_ptr) char *path = options_take_text(args, "file");
	cleanup(free_ptr) char *line = NULL;
	struct core *core = NULL;
	size_t size = 0;
	long number = 0;
	int status = 0;
	ssize_t len;
	FILE *file;

	json_decref(args);
	file = fopen(path, "re");
	if (!file)
		return cli_fail(cli, RESULT_BAD_REQUEST, "%s: can't be opened",
				path);
	while (!status && (len = getline(&line, &size, file)) > 0)
		status = replay_line(cli, &core, line, (size_t)len, ++number);
	fclose(file);
	core_free(core);
	return status;
}
