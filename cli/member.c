#include <stdio.h>

#include "cli/verb.h"

static const char *const member_id_names[] = { "id", NULL };
static const char *const member_two_names[] = { "id", "by", NULL };
static const char *const member_no_names[] = { NULL };

static void member_print(const json_t *answer)
{
	static const struct cli_column columns[] = { { "id", "ID" },
						     { "vm", "VM" },
						     { "zone", "ZONE" },
						     { "role", "ROLE" },
						     { "leader", "LEADER" },
						     { "disk", "DISK" },
						     { "applied_index",
						       "APPLIED" },
						     { "silent_s", "SILENT S" },
						     { "address", "LINKS AT" },
						     { 0 } };

	cli_print_table(json_object_get(answer, "members"), columns);
}

static int member_list(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "member-list", args, member_print);
}

static int member_add(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "member-add", args, NULL);
}

static int member_demote(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "member-demote", args, NULL);
}

static int member_remove(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "member-remove", args, NULL);
}

/* The new voter first: a failure between the two leaves one too many. */
static int member_replace(struct cli *cli, json_t *args)
{
	json_t *by = json_pack("{s:O}", "id", json_object_get(args, "by"));
	int status;

	json_object_del(args, "by");
	status = cli_call_and_print(cli, "member-add", by, NULL);
	if (status) {
		json_decref(args);
		return status;
	}
	status = cli_call_and_print(cli, "member-remove", args, NULL);
	if (status)
		fprintf(stderr, "the new voter votes already; run `member "
				"remove` again for the old one\n");
	return status;
}

static const struct verb member_verbs[] = {
	{ { "", "list members", NULL, member_no_names, 0 },
	  "list",
	  member_list },
	{ { "ID", "make a caught-up learner a voter", NULL, member_id_names,
	    1 },
	  "add",
	  member_add },
	{ { "ID", "make a voter a learner", NULL, member_id_names, 1 },
	  "demote",
	  member_demote },
	{ { "ID", "remove a member", NULL, member_id_names, 1 },
	  "remove",
	  member_remove },
	{ { "ID BY", "replace a voter by a caught-up learner", NULL,
	    member_two_names, 2 },
	  "replace",
	  member_replace },
	{ { NULL, NULL, NULL, member_no_names, 0 }, NULL, NULL }
};

int cli_member(struct cli *cli, int argc, char **argv)
{
	return verb_run(cli, member_verbs, argc, argv);
}
