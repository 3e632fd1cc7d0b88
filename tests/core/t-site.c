#include <glib.h>
#include <string.h>

#include "site.h"

#define SETTINGS                                                             \
	"{\"site/cluster\":{\"voters\":3},"                                  \
	"\"team/calves/class/lodgement\":{\"tier\":0,\"deadline_ms\":15000," \
	"\"idempotent\":false},"                                             \
	"\"team/calves/class/check\":{\"tier\":1,\"deadline_ms\":60000},"    \
	"\"team/calves/organisation/yards\":{},"                             \
	"\"team/calves/service/register\":{\"routes\":[{\"method\":"         \
	"\"POST\",\"prefix\":\"/movements\",\"idempotency\":\"required\","   \
	"\"class\":\"lodgement\"}]}}"

#define REGISTER "127.0.0.1:9000"
#define ENGINE "127.0.0.1:9001"

static void test_start(struct site *site, int n)
{
	site_start(site, n, SETTINGS);
	site_announce(site, 0, ENGINE, "base", NULL);
	site_announce(site, n - 1, REGISTER, NULL, "register");
	site_run(site, 100);
}

static void a_request_is_sent_and_answered(void)
{
	struct site site;
	struct effect *start;
	uint64_t id;

	test_start(&site, 1);
	id = site_chat(&site, 0, NULL);
	start = site_await(&site, 0, EFFECT_START_ATTEMPT, id);
	g_assert_cmpstr(start->u.start.address, ==, ENGINE);
	site_end_attempt(&site, 0, id, 1, RESULT_OK, NULL);
	g_assert_cmpint(site_await(&site, 0, EFFECT_ANSWER, id)->u.answer.code,
			==, RESULT_OK);
	site_free(&site);
}

static void each_refusal_says_not_run(void)
{
	struct site site;
	struct effect *answer;
	uint64_t id;

	test_start(&site, 1);
	id = site_chat(&site, 0, "lodgements");
	answer = site_await(&site, 0, EFFECT_ANSWER, id);
	g_assert_cmpint(answer->u.answer.code, ==, RESULT_CLASS_FORBIDDEN);
	g_assert_cmpint(answer->u.answer.run, ==, RUN_NOT);
	id = site_call_service(&site, 0, NULL);
	answer = site_await(&site, 0, EFFECT_ANSWER, id);
	g_assert_cmpint(answer->u.answer.code, ==,
			RESULT_NEEDS_IDEMPOTENCY_KEY);
	g_assert_cmpint(answer->u.answer.run, ==, RUN_NOT);
	g_assert_cmpint(site_count_attempts(&site, id), ==, 0);
	site_free(&site);
}

/*
 * A non-repeatable call is sent again through another VM while the first one
 * still runs, and once more afterwards. The service must receive it once, and
 * all three requests must get its answer.
 */
static void a_lodgement_sent_again_elsewhere_runs_once(void)
{
	struct site site;
	struct effect *answer;
	uint64_t first;
	uint64_t second;
	uint64_t third;

	test_start(&site, 3);
	first = site_call_service(&site, 0, "m-1");
	site_await(&site, 0, EFFECT_START_ATTEMPT, first);
	second = site_call_service(&site, 1, "m-1");
	site_run(&site, 1000);
	g_assert_null(site_find(&site, 1, EFFECT_ANSWER, second));
	g_assert_cmpint(site_count_attempts(&site, second), ==, 0);
	site_end_attempt(&site, 0, first, 1, RESULT_OK, "{\"ok\":7}");
	answer = site_await(&site, 1, EFFECT_ANSWER, second);
	g_assert_cmpint(answer->u.answer.http_status, ==, 200);
	g_assert_cmpmem(answer->u.answer.body.data, answer->u.answer.body.len,
			"{\"ok\":7}", 8);
	third = site_call_service(&site, 2, "m-1");
	answer = site_await(&site, 2, EFFECT_ANSWER, third);
	g_assert_cmpint(answer->u.answer.run, ==, RUN_RAN);
	g_assert_cmpint(site_count_attempts(&site, second), ==, 0);
	g_assert_cmpint(site_count_attempts(&site, third), ==, 0);
	site_free(&site);
}

/*
 * The VM that sent a non-repeatable call dies before the answer arrives, so
 * its outcome is unknown. A resend through another VM must be answered
 * "unknown" and must not be sent.
 */
static void a_lodgement_whose_vm_died_is_unknown(void)
{
	struct site site;
	struct effect *answer;
	uint64_t first;
	uint64_t second;
	int sender;
	int other;

	test_start(&site, 3);
	sender = (site_leader(&site) + 1) % 3;
	other = (sender + 1) % 3;
	first = site_call_service(&site, sender, "m-2");
	site_await(&site, sender, EFFECT_START_ATTEMPT, first);
	site.daemons[sender].stopped = true;
	second = site_call_service(&site, other, "m-2");
	answer = site_await(&site, other, EFFECT_ANSWER, second);
	g_assert_cmpint(answer->u.answer.code, ==, RESULT_CLAIM_UNKNOWN);
	g_assert_cmpint(answer->u.answer.run, ==, RUN_UNKNOWN);
	g_assert_cmpint(site_count_attempts(&site, second), ==, 0);
	site_free(&site);
}

/*
 * Two VMs receive the same non-repeatable call at once, from a caller that
 * hedges. Only one of them may send it.
 */
static void two_arrivals_at_once_run_once(void)
{
	struct site site;
	uint64_t first;
	uint64_t second;

	test_start(&site, 3);
	first = site_call_service(&site, 1, "m-3");
	second = site_call_service(&site, 2, "m-3");
	site_run(&site, 2000);
	g_assert_cmpint(site_count_attempts(&site, first) +
				site_count_attempts(&site, second),
			==, 1);
	site_free(&site);
}

/*
 * A key is withdrawn while its stream runs on another VM. The stream must end
 * within seconds and the next request must be refused, on every VM.
 */
static void a_withdrawn_key_ends_its_streams(void)
{
	struct site site;
	struct effect *answer;
	uint64_t id;
	int i;

	test_start(&site, 3);
	id = site_chat(&site, 2, NULL);
	site_await(&site, 2, EFFECT_START_ATTEMPT, id);
	g_assert_cmpint(site_admin(&site, 0, "key-withdraw", "{\"id\":\"k\"}"),
			==, RESULT_OK);
	site_run(&site, 3000);
	g_assert_nonnull(site_find(&site, 2, EFFECT_CANCEL_ATTEMPT, id));
	answer = site_find(&site, 2, EFFECT_ANSWER, id);
	g_assert_nonnull(answer);
	g_assert_cmpint(answer->u.answer.code, ==, RESULT_KEY_WITHDRAWN);
	for (i = 0; i < 3; i++) {
		id = site_chat(&site, i, NULL);
		g_assert_cmpint(
			site_await(&site, i, EFFECT_ANSWER, id)->u.answer.code,
			==, RESULT_KEY_UNKNOWN);
	}
	site_free(&site);
}

/*
 * A VM loses its links without notice, so it doesn't learn of withdrawn keys.
 * Within seconds it must refuse all requests and fail its health check.
 */
static void a_vm_cut_off_admits_nothing(void)
{
	struct site site;
	struct effect *answer;
	struct effect *publish = NULL;
	struct effect *effect;
	uint64_t id;
	int isolated;

	test_start(&site, 3);
	isolated = (site_leader(&site) + 1) % 3;
	site_cut(&site, isolated, true);
	site_run(&site, 3000);
	id = site_chat(&site, isolated, NULL);
	answer = site_await(&site, isolated, EFFECT_ANSWER, id);
	g_assert_cmpint(answer->u.answer.code, ==, RESULT_STALE);
	g_assert_cmpint(answer->u.answer.run, ==, RUN_NOT);
	list_foreach(effect, &site.daemons[isolated].kept.head, node)
		if (effect->kind == EFFECT_PUBLISH)
			publish = effect;
	g_assert_nonnull(publish);
	g_assert_false(publish->u.publish.healthy);
	site_cut(&site, isolated, false);
	site_run(&site, 3000);
	id = site_chat(&site, isolated, NULL);
	site_await(&site, isolated, EFFECT_START_ATTEMPT, id);
	site_free(&site);
}

/*
 * Two operators change the same class from the same version through two VMs.
 * The first change must be accepted and the second refused with a conflict.
 */
static void operators_racing_on_one_version(void)
{
	static const char args[] =
		"{\"path\":\"team/calves/class/check\",\"version\":%d,"
		"\"value\":{\"tier\":1,\"deadline_ms\":%d}}";
	struct site site;
	char first[160];
	char second[160];
	struct effect *answer;
	const char *at;
	int version;

	test_start(&site, 3);
	g_assert_cmpint(site_admin(&site, 0, "settings-get",
				   "{\"path\":\"team/calves/class/check\"}"),
			==, RESULT_OK);
	answer = site_find(&site, 0, EFFECT_ADMIN_ANSWER, site.next_id - 1);
	at = strstr(answer->u.admin_answer.body.data, "\"version\":");
	g_assert_nonnull(at);
	version = atoi(at + strlen("\"version\":"));
	g_snprintf(first, sizeof(first), args, version, 50000);
	g_snprintf(second, sizeof(second), args, version, 40000);
	g_assert_cmpint(site_admin(&site, 1, "settings-set", first), ==,
			RESULT_OK);
	g_assert_cmpint(site_admin(&site, 2, "settings-set", second), ==,
			RESULT_CONFLICT);
	site_free(&site);
}

/*
 * The answer to a change is lost and the change is sent again to another VM
 * with the same change id. It must be answered as accepted and not applied
 * twice.
 */
static void a_change_sent_again_is_made_once(void)
{
	static const char args[] =
		"{\"path\":\"team/calves/class/check/deadline_ms\","
		"\"value\":45000,\"change_id\":\"c-1\"}";
	struct site site;
	struct effect *answer;

	test_start(&site, 3);
	g_assert_cmpint(site_admin(&site, 1, "settings-set", args), ==,
			RESULT_OK);
	g_assert_cmpint(site_admin(&site, 2, "settings-set", args), ==,
			RESULT_OK);
	answer = site_find(&site, 2, EFFECT_ADMIN_ANSWER, site.next_id - 1);
	g_assert_nonnull(
		strstr(answer->u.admin_answer.body.data, "\"repeated\":true"));
	site_free(&site);
}

/*
 * The leader's VM dies. Within seconds another VM must lead and accept changes
 * and requests.
 */
static void the_leader_dies_and_work_goes_on(void)
{
	struct site site;
	uint64_t id;
	int leader;
	int other;

	test_start(&site, 3);
	leader = site_leader(&site);
	other = (leader + 1) % 3;
	site.daemons[leader].stopped = true;
	site_run(&site, 5000);
	g_assert_cmpint(site_admin(&site, other, "settings-set",
				   "{\"path\":\"team/calves/class/check/"
				   "deadline_ms\",\"value\":30000}"),
			==, RESULT_OK);
	id = site_chat(&site, other, NULL);
	site_await(&site, other, EFFECT_START_ATTEMPT, id);
	site_free(&site);
}

/*
 * A planned stop during a stream: new requests must be refused at once, the
 * stream must complete, and only then may the process exit.
 */
static void a_planned_stop_cuts_no_stream(void)
{
	struct site site;
	struct event *stop = event_new(EVENT_STOP);
	uint64_t id;
	uint64_t late;

	test_start(&site, 3);
	id = site_chat(&site, 1, NULL);
	site_await(&site, 1, EFFECT_START_ATTEMPT, id);
	stop->u.stop.grace_ms = 60000;
	site_give(&site, 1, stop);
	site_run(&site, 2000);
	g_assert_null(site_find(&site, 1, EFFECT_EXIT, 0));
	g_assert_null(site_find(&site, 1, EFFECT_CANCEL_ATTEMPT, id));
	late = site_chat(&site, 1, NULL);
	g_assert_cmpint(
		site_await(&site, 1, EFFECT_ANSWER, late)->u.answer.code, ==,
		RESULT_STOPPING);
	site_end_attempt(&site, 1, id, 1, RESULT_OK, NULL);
	g_assert_cmpint(site_await(&site, 1, EFFECT_ANSWER, id)->u.answer.code,
			==, RESULT_OK);
	site_await(&site, 1, EFFECT_EXIT, 0);
	site_free(&site);
}

/* Runs each command on the leader and on the other VMs. */
static void operators_commands_answer_on_any_vm(void)
{
	static const struct {
		const char *command;
		const char *args;
		enum result code;
	} calls[] = {
		{ "status", "{}", RESULT_OK },
		{ "member-list", "{}", RESULT_OK },
		{ "backend-list", "{}", RESULT_OK },
		{ "usage", "{}", RESULT_OK },
		{ "spend", "{}", RESULT_OK },
		{ "key-list", "{}", RESULT_OK },
		{ "settings-get", "{\"path\":\"team/calves\"}", RESULT_OK },
		{ "settings-history", "{}", RESULT_OK },
		{ "settings-wait", "{\"index\":1}", RESULT_OK },
		{ "backend-drain", "{\"address\":\"" ENGINE "\"}", RESULT_OK },
		{ "backend-drain", "{\"address\":\"" ENGINE "\",\"undo\":true}",
		  RESULT_OK },
		{ "backend-drain", "{\"address\":\"10.9.9.9:1\"}",
		  RESULT_NOT_FOUND },
		{ "backend-stop", "{\"address\":\"10.9.9.9:1\"}",
		  RESULT_NOT_FOUND },
		{ "member-add", "{\"id\":\"nobody\"}", RESULT_BAD_REQUEST },
		{ "member-remove", "{\"id\":\"ffff\"}", RESULT_NOT_FOUND },
		{ "settings-set", "not JSON", RESULT_BAD_REQUEST },
		{ "no-such-command", "{}", RESULT_NO_ROUTE },
	};
	struct site site;
	size_t i;
	int daemon;

	test_start(&site, 3);
	for (daemon = 0; daemon < 3; daemon++)
		for (i = 0; i < G_N_ELEMENTS(calls); i++) {
			g_test_message("%s on vm-%d", calls[i].command,
				       daemon + 1);
			g_assert_cmpint(site_admin(&site, daemon,
						   calls[i].command,
						   calls[i].args),
					==, calls[i].code);
		}
	site_free(&site);
}

/*
 * An operator of one team tries to change another team's classes, and the
 * site's members. Both must be refused.
 */
static void an_operator_stays_in_its_subtree(void)
{
	struct site site;

	test_start(&site, 1);
	g_assert_cmpint(site_admin(&site, 0, "key-grant",
				   "{\"id\":\"team-op\",\"hash\":\"" SITE_TEAM
				   "\",\"operates\":true,\"subtree\":"
				   "\"team/calves\"}"),
			==, RESULT_OK);
	site.operator_hash = SITE_TEAM;
	g_assert_cmpint(site_admin(&site, 0, "settings-set",
				   "{\"path\":\"team/calves/class/check/"
				   "deadline_ms\",\"value\":30000}"),
			==, RESULT_OK);
	g_assert_cmpint(site_admin(&site, 0, "settings-set",
				   "{\"path\":\"team/folio/class/x\","
				   "\"value\":{\"tier\":1}}"),
			==, RESULT_PATH_FORBIDDEN);
	g_assert_cmpint(site_admin(&site, 0, "member-remove",
				   "{\"id\":\"65\"}"),
			==, RESULT_PATH_FORBIDDEN);
	site.operator_hash = SITE_KEY;
	g_assert_cmpint(site_admin(&site, 0, "status", "{}"), ==,
			RESULT_KEY_UNKNOWN);
	site_free(&site);
}

/*
 * A VM is asked to stop during a long stream, and asked again. After the first
 * request the stream must continue; after the second the process must exit.
 */
static void a_second_request_to_stop_is_final(void)
{
	struct site site;
	struct event *stop;
	uint64_t id;
	int times;

	test_start(&site, 1);
	id = site_chat(&site, 0, NULL);
	site_await(&site, 0, EFFECT_START_ATTEMPT, id);
	for (times = 0; times < 2; times++) {
		g_assert_null(site_find(&site, 0, EFFECT_EXIT, 0));
		stop = event_new(EVENT_STOP);
		stop->u.stop.grace_ms = 900000;
		site_give(&site, 0, stop);
		site_run(&site, 5000);
	}
	g_assert_nonnull(site_find(&site, 0, EFFECT_EXIT, 0));
	site_free(&site);
}

/*
 * An operator's call is forwarded to a leader that has just stopped. The call
 * must be answered "not leader" as soon as another VM leads, not after a
 * minute.
 */
static void a_call_to_a_stopped_leader_ends(void)
{
	struct site site;
	int leader;
	int other;

	test_start(&site, 3);
	leader = site_leader(&site);
	other = (leader + 1) % 3;
	site.daemons[leader].stopped = true;
	g_assert_cmpint(site_admin(&site, other, "member-list", "{}"), ==,
			RESULT_NOT_LEADER);
	g_assert_cmpint(site_admin(&site, other, "member-list", "{}"), ==,
			RESULT_OK);
	site_free(&site);
}

/* A VM that was cut off while two servers crashed sends the request on. */
static void crashes_are_told_when_a_link_comes_up(void)
{
	struct site site;
	uint64_t id;

	test_start(&site, 3);
	site_announce(&site, 0, "127.0.0.1:9002", "base", NULL);
	site_announce(&site, 2, "127.0.0.1:9003", "base", NULL);
	site_run(&site, 100);
	site_cut(&site, 2, true);
	id = site_chat(&site, 0, NULL);
	site_await(&site, 0, EFFECT_START_ATTEMPT, id);
	site_end_attempt(&site, 0, id, 1, RESULT_BACKEND_BROKE, NULL);
	site_run(&site, 1000);
	site_end_attempt(&site, 0, id, 2, RESULT_BACKEND_BROKE, NULL);
	g_assert_cmpint(site_await(&site, 0, EFFECT_ANSWER, id)->u.answer.code,
			==, RESULT_POISON);
	site_cut(&site, 2, false);
	site_run(&site, 1000);
	site_link(&site, 0, 2);
	id = site_chat(&site, 2, NULL);
	g_assert_cmpint(site_await(&site, 2, EFFECT_ANSWER, id)->u.answer.code,
			==, RESULT_POISON);
	site_free(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/site/request", a_request_is_sent_and_answered);
	g_test_add_func("/site/refusals", each_refusal_says_not_run);
	g_test_add_func("/site/lodgement-resent",
			a_lodgement_sent_again_elsewhere_runs_once);
	g_test_add_func("/site/lodgement-unknown",
			a_lodgement_whose_vm_died_is_unknown);
	g_test_add_func("/site/lodgement-twice", two_arrivals_at_once_run_once);
	g_test_add_func("/site/key-withdrawn",
			a_withdrawn_key_ends_its_streams);
	g_test_add_func("/site/cut-off", a_vm_cut_off_admits_nothing);
	g_test_add_func("/site/race", operators_racing_on_one_version);
	g_test_add_func("/site/change-resent",
			a_change_sent_again_is_made_once);
	g_test_add_func("/site/leader-dies", the_leader_dies_and_work_goes_on);
	g_test_add_func("/site/planned-stop", a_planned_stop_cuts_no_stream);
	g_test_add_func("/site/commands", operators_commands_answer_on_any_vm);
	g_test_add_func("/site/subtree", an_operator_stays_in_its_subtree);
	g_test_add_func("/site/second-stop", a_second_request_to_stop_is_final);
	g_test_add_func("/site/stopped-leader",
			a_call_to_a_stopped_leader_ends);
	g_test_add_func("/site/crashes-told",
			crashes_are_told_when_a_link_comes_up);
	return g_test_run();
}
