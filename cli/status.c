#include <stdio.h>
#include <unistd.h>

#include "cli/verb.h"

#define STATUS_WATCH_S 1

static const struct option_row status_rows[] = {
	{ "watch", "watch", OPTION_NUMBER, "N",
	  "show it N times, once a second" },
	{ 0 }
};

static const char *const status_no_names[] = { NULL };

static const char *status_text(const json_t *answer, const char *key)
{
	const char *text = json_string_value(json_object_get(answer, key));

	return text ? text : "-";
}

static long long status_number(const json_t *answer, const char *key)
{
	return json_integer_value(json_object_get(answer, key));
}

static void status_print(const json_t *answer)
{
	static const struct cli_column columns[] = { { "name", "CLASS" },
						     { "tier", "TIER" },
						     { "waiting", "WAITING" },
						     { "running", "RUNNING" },
						     { "oldest_s", "OLDEST S" },
						     { "offered", "OFFERED" },
						     { "attained", "ATTAINED" },
						     { "refused", "REFUSED" },
						     { "expired", "EXPIRED" },
						     { "wasted_tokens",
						       "WASTED" },
						     { 0 } };
	const json_t *worst = json_object_get(answer, "worst_organisation");

	printf("%s in %s: %s%s%s, term %lld, applied %lld, reaches %lld of "
	       "%lld daemons\n",
	       status_text(answer, "vm"), status_text(answer, "zone"),
	       json_is_true(json_object_get(answer, "healthy")) ? "healthy"
								: "NOT HEALTHY",
	       json_is_true(json_object_get(answer, "leader")) ? ", leader"
							       : "",
	       json_is_true(json_object_get(answer, "in_charge"))
		       ? ", in charge"
		       : "",
	       status_number(answer, "term"),
	       status_number(answer, "applied_index"),
	       status_number(answer, "reached"),
	       status_number(answer, "members"));
	cli_print_table(json_object_get(answer, "classes"), columns);
	if (json_is_object(worst))
		printf("worst served: %s, %lld of %lld attained\n",
		       status_text(worst, "name"),
		       status_number(worst, "attained"),
		       status_number(worst, "offered"));
}

int cli_status(struct cli *cli, int argc, char **argv)
{
	static const struct option_set set = { "", "show classes and this VM",
					       status_rows, status_no_names,
					       0 };
	json_t *args = options_read(&set, argc, argv);
	json_int_t times = json_integer_value(json_object_get(args, "watch"));
	int status;

	json_decref(args);
	do {
		status = cli_call_and_print(cli, "status", json_object(),
					    status_print);
		fflush(stdout);
		if (times > 1)
			sleep(STATUS_WATCH_S);
	} while (--times > 0 && !status);
	return status;
}
