#include <glib.h>
#include <string.h>

#include "agree/rules.h"
#include "agree/settings.h"
#include "base/rng.h"
#include "site.h"

#define CLASS "team/calves/class/lodgement"

static const char two_teams[] =
	"{\"" CLASS "\": {\"tier\": 0, \"deadline_ms\": 3000},"
	" \"team/looks/class/critique\": {\"tier\": 2, \"min_share\": 0.2},"
	" \"team/calves/organisation/yard\": {\"max_concurrent\": 5}}";

/*
 * Two operators read the same value and each sets another one. The second must
 * get a conflict that shows both values; otherwise it would overwrite the first
 * change without either operator noticing.
 */
static void operators_race_under_equal_numbers(void)
{
	struct site site;
	int64_t version;

	site_start(&site, two_teams);
	settings_get(agreed_settings(site.agreed), CLASS, &version);
	g_assert_cmpint(site_command(&site, "root", "settings-set",
				     "{\"path\": \"" CLASS "/deadline_ms\", "
				     "\"value\": 2000, \"version\": %d}",
				     (int)version),
			==, RESULT_OK);
	g_assert_cmpint(site_command(&site, "root", "settings-set",
				     "{\"path\": \"" CLASS "/deadline_ms\", "
				     "\"value\": 4000, \"version\": %d}",
				     (int)version),
			==, RESULT_CONFLICT);
	g_assert_cmpstr(site_message(&site), ==,
			CLASS "/deadline_ms: is at version 2 by root, not 1; "
			      "now {\"tier\":0,\"deadline_ms\":2000}, "
			      "wanted 4000");
	g_assert_cmpint(rules_class(agreed_settings(site.agreed), "lodgement")
				->deadline_us,
			==, 2000000);
	site_stop(&site);
}

/*
 * An operator's answer is lost after the change was accepted; meanwhile a
 * colleague set another value. The operator sends again, through a VM that
 * was restarted from a snapshot. The resend must not undo the colleague.
 */
static void resend_after_a_lost_answer_changes_nothing(void)
{
	static const char change[] = "{\"path\": \"" CLASS "/deadline_ms\", "
				     "\"value\": 2000, \"change_id\": \"c1\"}";
	struct site site;
	json_t *first;

	site_start(&site, two_teams);
	g_assert_cmpint(site_command(&site, "root", "settings-set", "%s",
				     change),
			==, RESULT_OK);
	first = json_incref(site.applied.answer);
	site_command(&site, "root", "settings-set",
		     "{\"path\": \"" CLASS "/deadline_ms\", \"value\": 9}");
	site_restart(&site);
	g_assert_cmpint(site_command(&site, "root", "settings-set", "%s",
				     change),
			==, RESULT_OK);
	g_assert_true(site.applied.repeated);
	g_assert_true(json_equal(first, site.applied.answer));
	g_assert_true(list_empty(&site.applied.changes));
	g_assert_cmpint(rules_class(agreed_settings(site.agreed), "lodgement")
				->deadline_us,
			==, 9000);
	g_assert_cmpint(site_command(&site, "root", "settings-set",
				     "{\"path\": \"" CLASS "/tier\", "
				     "\"value\": 1, \"change_id\": \"c1\"}"),
			==, RESULT_CONFLICT);
	json_decref(first);
	site_stop(&site);
}

/*
 * Processes restart after hundreds of changes. After the restart each operator
 * whose change was acknowledged as accepted must read the last accepted value,
 * never an older one, and the same history for reverts.
 */
static void restart_after_hundreds_of_changes_keeps_the_last(void)
{
	struct site site;
	int i;

	site_start(&site, two_teams);
	for (i = 1; i <= 600; i++) {
		g_assert_cmpint(site_command(&site, "root", "settings-set",
					     "{\"path\": \"" CLASS "/"
					     "queue_bound\", \"value\": %d}",
					     i),
				==, RESULT_OK);
		if (i % 97 == 0)
			site_restart(&site);
	}
	site_restart(&site);
	g_assert_cmpint(rules_class(agreed_settings(site.agreed), "lodgement")
				->queue_bound,
			==, 600);
	g_assert_cmpint(site_command(&site, "root", "settings-revert",
				     "{\"version\": %d}", (int)site.index),
			==, RESULT_OK);
	g_assert_cmpint(rules_class(agreed_settings(site.agreed), "lodgement")
				->queue_bound,
			==, 599);
	g_assert_cmpint(site_command(&site, "root", "settings-revert",
				     "{\"version\": 5}"),
			==, RESULT_NOT_FOUND);
	site_stop(&site);
}

/* A file of three paths with one bad value must change none of them. */
static void change_with_one_bad_value_is_refused_whole(void)
{
	struct site site;

	site_start(&site, two_teams);
	g_assert_cmpint(
		site_command(&site, "root", "settings-apply",
			     "{\"values\": {\"" CLASS "\": {\"tier\": 1}, "
			     "\"team/looks/class/critique\": {\"tier\": 4}, "
			     "\"team/calves/organisation/yard\": null}}"),
		==, RESULT_SETTING_VALUE);
	g_assert_cmpstr(site_message(&site), ==,
			"team/looks/class/critique: tier is 4; allowed: a "
			"whole number from 0 to 3");
	g_assert_cmpint(
		rules_class(agreed_settings(site.agreed), "lodgement")->tier,
		==, 0);
	g_assert_nonnull(
		rules_organisation(agreed_settings(site.agreed), "yard"));
	site_stop(&site);
}

static void check_refused(struct site *site, const char *args,
			  const char *message)
{
	g_assert_cmpint(site_command(site, "root", "settings-apply", "%s",
				     args),
			!=, RESULT_OK);
	g_assert_cmpstr(site_message(site), ==, message);
}

static void values_are_checked_against_each_other(void)
{
	struct site site;

	site_start(&site, two_teams);
	check_refused(&site,
		      "{\"values\": {\"team/looks/class/lodgement\": "
		      "{\"tier\": 1}}}",
		      "team/looks/class/lodgement: the name is taken by " CLASS
		      "; allowed: a class name that no other team uses");
	check_refused(&site,
		      "{\"values\": {\"" CLASS "\": {\"tier\": 0, "
		      "\"min_share\": 0.35}}}",
		      CLASS ": min_share makes the shares of all classes 0.55; "
			    "allowed: 0.5 at most over all classes of the "
			    "site");
	check_refused(&site,
		      "{\"values\": {\"team/calves/service/register\": "
		      "{\"routes\": [{\"method\": \"*\", \"prefix\": \"\", "
		      "\"idempotency\": \"none\", \"class\": \"gone\"}]}}}",
		      "team/calves/service/register: routes[0].class names "
		      "\"gone\", which is no class; allowed: a class that "
		      "exists after the change");
	check_refused(&site,
		      "{\"values\": {\"site/cluster\": {\"voters\": 4}}}",
		      "site/cluster: voters is 4; allowed: 1, 3, 5 or 7");
	site_stop(&site);
}

/* An operator of one team must not change anything outside its subtree. */
static void operators_keep_to_their_subtree(void)
{
	struct site site;
	char hash[65];

	site_start(&site, two_teams);
	g_assert_cmpint(site_command(&site, "root", "key-grant",
				     "{\"id\": \"ann\", \"hash\": \"%s\", "
				     "\"operates\": true, "
				     "\"subtree\": \"team/calves\"}",
				     site_hash(hash, 7)),
			==, RESULT_OK);
	g_assert_cmpint(site_command(&site, "ann", "settings-set",
				     "{\"path\": \"" CLASS "/tier\", "
				     "\"value\": 1}"),
			==, RESULT_OK);
	g_assert_cmpint(site_command(&site, "ann", "settings-set",
				     "{\"path\": \"team/calves2/budget\", "
				     "\"value\": {\"per_hour\": 1}}"),
			==, RESULT_PATH_FORBIDDEN);
	g_assert_cmpint(site_command(&site, "ann", "key-grant",
				     "{\"id\": \"bob\", \"hash\": \"%s\", "
				     "\"operates\": true, \"subtree\": \"\"}",
				     site_hash(hash, 8)),
			==, RESULT_PATH_FORBIDDEN);
	g_assert_cmpint(site_command(&site, "ann", "settings-revert",
				     "{\"version\": 1}"),
			==, RESULT_PATH_FORBIDDEN);
	site_stop(&site);
}

/*
 * Differential test: random sets, deletes, compare-and-sets and reverts of
 * few paths against a plain table as reference, with restarts
 * from snapshots in between.
 */
#define NAIVE_PATHS 6
#define NAIVE_STEPS 400

struct naive {
	int value[NAIVE_PATHS]; /* 0: not set */
	int64_t version[NAIVE_PATHS];
	int64_t last[NAIVE_PATHS];   /* change that touched it last */
	int before[NAIVE_STEPS + 8]; /* by index: value replaced */
	int path[NAIVE_STEPS + 8];   /* by index: path, -1 none */
};

static enum result naive_put(struct naive *naive, int path, int value,
			     int64_t index)
{
	if (naive->value[path] == value)
		return RESULT_OK;
	naive->before[index] = naive->value[path];
	naive->path[index] = path;
	naive->last[path] = index;
	naive->value[path] = value;
	naive->version[path] = value ? index : 0;
	return RESULT_OK;
}

static enum result naive_set(struct naive *naive, int path, int value,
			     int64_t expected, int64_t index)
{
	if (expected >= 0 && naive->version[path] != expected)
		return RESULT_CONFLICT;
	if (!value && !naive->value[path])
		return RESULT_NOT_FOUND;
	return naive_put(naive, path, value, index);
}

static enum result naive_revert(struct naive *naive, int64_t version,
				int64_t index)
{
	int path = version < index ? naive->path[version] : -1;

	if (path < 0)
		return RESULT_NOT_FOUND;
	if (naive->last[path] != version)
		return RESULT_CONFLICT;
	return naive_put(naive, path, naive->before[version], index);
}

static void random_step(struct site *site, struct naive *naive, struct rng *rng)
{
	int path = (int)rng_below(rng, NAIVE_PATHS);
	int value = (int)rng_below(rng, 4);
	int64_t expected = rng_below(rng, 3) ? -1 : naive->version[path];
	int64_t index = site->index + 1;
	char compare[40];
	enum result wanted;
	enum result got;

	if (!rng_below(rng, 5)) {
		int64_t version = 2 + (int64_t)rng_below(rng, index - 1);

		wanted = naive_revert(naive, version, index);
		got = site_command(site, "root", "settings-revert",
				   "{\"version\": %d}", (int)version);
	} else if (value) {
		if (!rng_below(rng, 4))
			expected = (int64_t)rng_below(rng, index);
		wanted = naive_set(naive, path, value, expected, index);
		g_snprintf(compare, sizeof(compare), ", \"version\": %d",
			   (int)expected);
		got = site_command(site, "root", "settings-set",
				   "{\"path\": \"team/t/organisation/o%d\", "
				   "\"value\": {\"max_concurrent\": %d}%s}",
				   path, value, expected < 0 ? "" : compare);
	} else {
		wanted = naive_set(naive, path, 0, -1, index);
		got = site_command(site, "root", "settings-delete",
				   "{\"path\": \"team/t/organisation/o%d\"}",
				   path);
	}
	g_assert_cmpint(got, ==, wanted);
}

static void check_same(const struct site *site, const struct naive *naive)
{
	const struct settings *settings = agreed_settings(site->agreed);
	char name[8];
	int i;

	for (i = 0; i < NAIVE_PATHS; i++) {
		const struct organisation_rule *rule;

		g_snprintf(name, sizeof(name), "o%d", i);
		rule = rules_organisation(settings, name);
		g_assert_cmpint(rule ? rule->max_concurrent : 0, ==,
				naive->value[i]);
	}
}

static void random_changes_agree_with_a_naive_table(void)
{
	unsigned int seed;

	for (seed = 1; seed <= 40; seed++) {
		struct rng rng = { seed };
		struct naive naive = { 0 };
		struct site site;
		int i;

		memset(naive.path, -1, sizeof(naive.path));
		site_start(&site, "{}");
		for (i = 0; i < NAIVE_STEPS; i++) {
			random_step(&site, &naive, &rng);
			check_same(&site, &naive);
			if (!rng_below(&rng, 50))
				site_restart(&site);
		}
		site_stop(&site);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/race", operators_race_under_equal_numbers);
	g_test_add_func("/settings/resend",
			resend_after_a_lost_answer_changes_nothing);
	g_test_add_func("/settings/restart",
			restart_after_hundreds_of_changes_keeps_the_last);
	g_test_add_func("/settings/whole",
			change_with_one_bad_value_is_refused_whole);
	g_test_add_func("/settings/cross",
			values_are_checked_against_each_other);
	g_test_add_func("/settings/subtree", operators_keep_to_their_subtree);
	g_test_add_func("/settings/naive",
			random_changes_agree_with_a_naive_table);
	return g_test_run();
}
