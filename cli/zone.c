#include <stdlib.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "cli/settings.h"
#include "cli/verb.h"

static const char *const zone_names[] = { "zone", NULL };
static const char *const zone_no_names[] = { NULL };

/* The setting that all daemons obey once it is in force. */
static int zone_set(struct cli *cli, json_t *args, bool evacuated)
{
	cleanup(free_ptr) char *zone = options_take_text(args, "zone");
	cleanup(free_ptr) char *path =
		xstrfmt("site/fleet/zone/%s/evacuated", zone);

	json_object_set_new(args, "path", json_string(path));
	json_object_set_new(args, "value", json_boolean(evacuated));
	return cli_settings_send(cli, "settings-set", args);
}

static int zone_evacuate(struct cli *cli, json_t *args)
{
	return zone_set(cli, args, true);
}

static int zone_return(struct cli *cli, json_t *args)
{
	return zone_set(cli, args, false);
}

static void zone_print(const json_t *answer)
{
	static const struct cli_column columns[] = {
		{ "zone", "ZONE" },
		{ "evacuated", "EVACUATED" },
		{ "servers", "BACKEND SERVERS" },
		{ "usable", "USABLE" },
		{ "running", "RUNNING" },
		{ 0 }
	};

	cli_print_table(json_object_get(answer, "zones"), columns);
}

static int zone_list(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "zone-list", args, zone_print);
}

static const struct verb zone_verbs[] = {
	{ { "ZONE", "send nothing more to a zone's backend servers",
	    cli_settings_change_rows, zone_names, 1 },
	  "evacuate",
	  zone_evacuate },
	{ { "ZONE", "use them again", cli_settings_change_rows, zone_names, 1 },
	  "return",
	  zone_return },
	{ { "", "list zones and their backend servers", NULL, zone_no_names,
	    0 },
	  "list",
	  zone_list },
	{ { NULL, NULL, NULL, zone_no_names, 0 }, NULL, NULL }
};

int cli_zone(struct cli *cli, int argc, char **argv)
{
	return verb_run(cli, zone_verbs, argc, argv);
}
