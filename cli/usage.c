#include <stdio.h>

#include "cli/verb.h"

static const char *const usage_no_names[] = { NULL };

static void usage_print(const json_t *answer)
{
	static const struct cli_column columns[] = {
		{ "organisation", "ORGANISATION" },
		{ "class", "CLASS" },
		{ "requests", "REQUESTS" },
		{ "prompt_tokens", "PROMPT" },
		{ "output_tokens", "OUTPUT" },
		{ "wasted_tokens", "WASTED" },
		{ 0 }
	};
	static const char *const states[] = { "open", "committed", "accepted",
					      "refused" };
	json_t *window;
	size_t i;

	printf("window %lld, counting:\n",
	       (long long)json_integer_value(
		       json_object_get(answer, "window")));
	cli_print_table(json_object_get(answer, "rows"), columns);
	json_array_foreach(json_object_get(answer, "committed"), i, window) {
		static const struct cli_column rows[] = {
			{ "name", "ORGANISATION" },
			{ "requests", "REQUESTS" },
			{ "prompt_tokens", "PROMPT" },
			{ "output_tokens", "OUTPUT" },
			{ "correction_of", "CORRECTION OF" },
			{ 0 }
		};

		printf("\nwindow %lld, %s:\n",
		       (long long)json_integer_value(
			       json_object_get(window, "window")),
		       states[json_integer_value(
				      json_object_get(window, "state")) &
			      3]);
		cli_print_table(json_object_get(window, "rows"), rows);
	}
}

int cli_usage(struct cli *cli, int argc, char **argv)
{
	static const struct option_set set = { "", "show usage windows", NULL,
					       usage_no_names, 0 };

	return cli_call_and_print(cli, "usage", options_read(&set, argc, argv),
				  usage_print);
}

static void usage_print_spend(const json_t *answer)
{
	static const struct cli_column zones[] = { { "zone", "ZONE" },
						   { "kind", "KIND" },
						   { "servers", "SERVERS" },
						   { "cost", "COST" },
						   { 0 } };
	static const struct cli_column teams[] = { { "team", "TEAM" },
						   { "cost", "COST" },
						   { "requests", "REQUESTS" },
						   { "attained", "ATTAINED" },
						   { "cost_per_attained",
						     "COST PER ATTAINED" },
						   { 0 } };

	printf("%.2f an hour now\n",
	       json_number_value(json_object_get(answer, "per_hour")));
	cli_print_table(json_object_get(answer, "zones"), zones);
	putchar('\n');
	cli_print_table(json_object_get(answer, "teams"), teams);
}

int cli_spend(struct cli *cli, int argc, char **argv)
{
	static const struct option_set set = {
		"", "show what each zone costs against service", NULL,
		usage_no_names, 0
	};

	return cli_call_and_print(cli, "spend", options_read(&set, argc, argv),
				  usage_print_spend);
}
