#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon/boot.h"
#include "daemon/daemon.h"
#include "daemon/role/role.h"
#include "platform/platform.h"

const char *argp_program_version = "filberthalld 0.1.0";

struct arguments {
	const char *settings;
	const char *recording;
	bool check;
};

/*
 * Larger blocks go back to the system as they are freed. Unless it is set, the
 * allocator raises this with each large block, up to 32 MiB.
 */
#define MAPPED_BYTES (128 * 1024)

static const struct argp_option main_options[] = {
	{ "settings", 's', "FILE", 0, "boot settings, YAML", 0 },
	{ "check", 'c', NULL, 0, "only check the settings", 0 },
	{ "record", 'r', "FILE", 0,
	  "write the event stream, for `filberthall replay`", 0 },
	{ 0 }
};

static error_t main_parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 's':
		arguments->settings = arg;
		return 0;
	case 'c':
		arguments->check = true;
		return 0;
	case 'r':
		arguments->recording = arg;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "no such argument: %s", arg);
		return 0;
	case ARGP_KEY_END:
		if (!arguments->settings)
			argp_error(state, "--settings FILE is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp main_argp = {
	main_options,
	main_parse,
	NULL,
	"filberthalld routes language-model traffic by service levels and "
	"priorities. One runs on each entry VM.",
	NULL,
	NULL,
	NULL
};

static void main_report(void *data, enum result code, const char *message)
{
	fprintf(stderr, "filberthalld: %s (%d %s)\n", message, code,
		result_name(code));
}

int main(int argc, char **argv)
{
	struct error_handler handler = { main_report, NULL };
	struct arguments arguments = { 0 };
	struct boot boot;
	enum result code;

	/*
	 * Settings may change, and whoever changed them tell us, before the
	 * loop listens for it: by default that signal ends a process. So does
	 * the one for a file that may not grow, where the write's error is
	 * dealt with as that of any full disk.
	 */
	signal(SIGHUP, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN);
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
	argp_parse(&main_argp, argc, argv, 0, NULL, &arguments);
	code = boot_load(&boot, arguments.settings, &handler);
	if (code)
		return EXIT_FAILURE;
	if (arguments.check)
		code = daemon_check(&boot, &handler);
	else if (boot.role == BOOT_ROLE_ENTRY)
		code = entry_daemon_run(&boot, arguments.settings,
					platform_dialect(), &handler);
	else if (boot.role == BOOT_ROLE_CONTROL)
		code = control_daemon_run(&boot, arguments.settings,
					  platform_dialect(), &handler);
	else
		code = daemon_run(&boot, arguments.recording, &handler);
	boot_clear(&boot);
	return code ? EXIT_FAILURE : EXIT_SUCCESS;
}
