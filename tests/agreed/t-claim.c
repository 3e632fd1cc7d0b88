#include <glib.h>
#include <string.h>

#include "agree/claim.h"
#include "base/rng.h"
#include "site.h"

#define MINUTE_US (60 * SITE_SECOND_US)

static const char small_bounds[] =
	"{\"site/claims\": {\"keep_s\": 600, \"max_claims\": 5,"
	" \"max_bytes\": 100, \"answer_bytes\": 60}}";

/* Apply a batch of one operation by (member, incarnation); returns its code. */
static enum result claim(struct site *site, uint64_t member,
			 uint64_t incarnation, enum claim_verb verb,
			 const char *id, const char *body_hash, bool sending)
{
	struct entry_head head = site_head(site, member, incarnation);
	struct claim_op op = { .verb = verb,
			       .ticket = 77,
			       .body_hash = body_hash,
			       .sending = sending,
			       .http_status = 201,
			       .content_type = "text/plain",
			       .body = "lodged\0\xff",
			       .body_len = 8 };
	struct bytes entry = { 0 };

	claim_id(op.id, "yard", "register", id);
	entry_claims(&entry, &head, &op, 1);
	g_assert_cmpint(site_apply(site, &entry), ==, RESULT_OK);
	g_assert_cmpuint(site->applied.n_claims, ==, 1);
	g_assert_cmpuint(site->applied.claims[0].ticket, ==, 77);
	return site->applied.claims[0].code;
}

static const struct claim *find(const struct site *site, const char *key)
{
	char id[CLAIM_ID_SIZE];

	claim_id(id, "yard", "register", key);
	return claims_find(agreed_claims(site->agreed), id);
}

static void owner_gone(struct site *site, uint64_t member, uint64_t incarnation)
{
	struct entry_head head = site_head(site, 9, 1);
	struct claim_owner owner = { member, incarnation };
	struct bytes entry = { 0 };

	entry_owner_gone(&entry, &head, &owner);
	site_apply(site, &entry);
}

/*
 * The answer to a non-repeatable call is lost and the caller sends it again
 * through another VM, while the first still runs and after it ended. The
 * service must receive it once, and the caller must get the first answer.
 */
static void resend_meets_the_running_and_the_kept_answer(void)
{
	struct site site;

	site_start(&site, "{}");
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_OPEN, "a", "h", true), ==,
			RESULT_OK);
	g_assert_cmpint(claim(&site, 2, 1, CLAIM_VERB_OPEN, "a", "h", true), ==,
			RESULT_CLAIM_RUNNING);
	g_assert_cmpint(claim(&site, 2, 1, CLAIM_VERB_DONE, "a", NULL, false),
			==, RESULT_CONFLICT);
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_DONE, "a", NULL, false),
			==, RESULT_OK);
	site_restart(&site);
	g_assert_cmpint(claim(&site, 2, 1, CLAIM_VERB_OPEN, "a", "h", true), ==,
			RESULT_CLAIM_DONE);
	g_assert_cmpmem(find(&site, "a")->body, find(&site, "a")->body_len,
			"lodged\0\xff", 8);
	g_assert_cmpint(find(&site, "a")->http_status, ==, 201);
	g_assert_cmpint(claim(&site, 2, 1, CLAIM_VERB_OPEN, "a", "h2", true),
			==, RESULT_KEY_REUSED);
	site_stop(&site);
}

/*
 * The VM that sent a request crashes before the answer arrives, so its outcome is
 * unknown. A resend must be answered "unknown" and never run, even if the VM
 * was only paused and later resumes with the answer.
 */
static void owner_that_died_after_sending_leaves_unknown(void)
{
	struct site site;

	site_start(&site, "{}");
	claim(&site, 1, 1, CLAIM_VERB_OPEN, "a", "h", true);
	owner_gone(&site, 1, 1);
	g_assert_cmpint(
		list_first(&site.applied.changes, struct change, node)->kind,
		==, CHANGE_CLAIM);
	g_assert_cmpint(claim(&site, 2, 1, CLAIM_VERB_OPEN, "a", "h", true), ==,
			RESULT_CLAIM_UNKNOWN);
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_RELEASE, "a", NULL,
			      false),
			==, RESULT_CONFLICT);
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_DONE, "a", NULL, false),
			==, RESULT_OK);
	g_assert_cmpint(claim(&site, 2, 1, CLAIM_VERB_OPEN, "a", "h", true), ==,
			RESULT_CLAIM_DONE);
	site_stop(&site);
}

/*
 * A VM is paused while its request waits, is declared gone, and the caller's
 * resend runs through another VM. When the first VM resumes and asks to send,
 * the log must refuse it: the request would run twice.
 */
static void paused_owner_that_wakes_up_may_not_send(void)
{
	struct site site;

	site_start(&site, "{}");
	claim(&site, 1, 1, CLAIM_VERB_OPEN, "a", "h", false);
	owner_gone(&site, 1, 1);
	g_assert_null(find(&site, "a"));
	g_assert_cmpint(claim(&site, 2, 1, CLAIM_VERB_OPEN, "a", "h", true), ==,
			RESULT_OK);
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_SENT, "a", NULL, false),
			==, RESULT_CONFLICT);
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_OPEN, "b", "h", true), ==,
			RESULT_CONFLICT);
	site_restart(&site);
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_OPEN, "b", "h", true), ==,
			RESULT_CONFLICT);
	g_assert_cmpint(claim(&site, 1, 2, CLAIM_VERB_OPEN, "b", "h", true), ==,
			RESULT_OK);
	site_stop(&site);
}

/*
 * A VM crashes and restarts at once, before it is declared gone. Its next entry
 * shows that its previous incarnation has ended.
 */
static void restarted_owner_ends_the_claims_of_its_former_life(void)
{
	struct site site;

	site_start(&site, "{}");
	claim(&site, 1, 1, CLAIM_VERB_OPEN, "sent", "h", true);
	claim(&site, 1, 1, CLAIM_VERB_OPEN, "waiting", "h", false);
	claim(&site, 1, 2, CLAIM_VERB_OPEN, "new", "h", true);
	g_assert_cmpint(find(&site, "sent")->state, ==, CLAIM_UNKNOWN);
	g_assert_null(find(&site, "waiting"));
	g_assert_cmpint(find(&site, "new")->state, ==, CLAIM_SENT);
	site_stop(&site);
}

static void claims_are_bounded_and_marks_outlive_answers(void)
{
	struct site site;
	char id[8];
	int i;

	site_start(&site, small_bounds);
	for (i = 0; i < 5; i++) {
		g_snprintf(id, sizeof(id), "%d", i);
		g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_OPEN, id, "h",
				      true),
				==, RESULT_OK);
		claim(&site, 1, 1, CLAIM_VERB_DONE, id, NULL, false);
	}
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_OPEN, "5", "h", true), ==,
			RESULT_CLAIM_FULL);
	g_assert_cmpint(site_command(&site, "root", "settings-set",
				     "{\"path\": \"site/claims/max_bytes\", "
				     "\"value\": 20}"),
			==, RESULT_OK);
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_OPEN, "0", "h", true), ==,
			RESULT_CLAIM_ANSWER_GONE);
	g_assert_cmpint(claim(&site, 1, 1, CLAIM_VERB_OPEN, "4", "h", true), ==,
			RESULT_CLAIM_DONE);
	site_stop(&site);
}

/*
 * One VM's clock steps a day ahead and its entry is committed. If log time
 * followed it, all claims would expire at once, and each request that is sent
 * again would run a second time.
 */
static void leap_of_one_clock_expires_no_claims(void)
{
	struct site site;
	int i;

	site_start(&site, small_bounds);
	claim(&site, 1, 1, CLAIM_VERB_OPEN, "a", "h", true);
	site.time_us += 1440 * MINUTE_US;
	claim(&site, 2, 1, CLAIM_VERB_OPEN, "b", "h", true);
	g_assert_nonnull(find(&site, "a"));
	site.time_us -= 1440 * MINUTE_US;
	for (i = 0; i < 59; i++) {
		site.time_us += 10 * SITE_SECOND_US;
		claim(&site, 2, 1, CLAIM_VERB_OPEN, "b", "h", true);
		g_assert_nonnull(find(&site, "a"));
	}
	site.time_us += 20 * SITE_SECOND_US;
	claim(&site, 2, 1, CLAIM_VERB_OPEN, "c", "h", true);
	claim(&site, 2, 1, CLAIM_VERB_OPEN, "c", "h", true);
	g_assert_null(find(&site, "a"));
	site_stop(&site);
}

/*
 * The register must receive each request at most once: random opens, sends,
 * answers, crashes, restarts and resends of few requests by three VMs. A VM
 * sends once its entry is applied, unless it crashed before; each request may
 * be sent once until its claim expires. The test counts the sends.
 */
#define KEYS 5
#define VMS 3

struct vm {
	uint64_t incarnation;
	bool open[KEYS]; /* has an OPEN claim of its own */
	bool sent[KEYS]; /* may have sent */
};

static void restart(struct vm *vm)
{
	uint64_t incarnation = vm->incarnation + 1;

	memset(vm, 0, sizeof(*vm));
	vm->incarnation = incarnation;
}

static void try_open(struct site *site, struct vm *vm, uint64_t member, int key,
		     int sends[KEYS], bool sending)
{
	char id[8];

	g_snprintf(id, sizeof(id), "%d", key);
	if (claim(site, member, vm->incarnation, CLAIM_VERB_OPEN, id, "h",
		  sending) != RESULT_OK)
		return;
	vm->open[key] = !sending;
	vm->sent[key] = sending;
	sends[key] += sending;
}

static void go_on(struct site *site, struct vm *vm, uint64_t member, int key,
		  int sends[KEYS], enum claim_verb verb)
{
	bool known = vm->open[key] || vm->sent[key];
	enum result code;
	char id[8];

	if (!known || (verb == CLAIM_VERB_RELEASE && vm->sent[key]))
		return;
	if (verb == CLAIM_VERB_DONE && !vm->sent[key])
		return;
	g_snprintf(id, sizeof(id), "%d", key);
	code = claim(site, member, vm->incarnation, verb, id, NULL, false);
	if (code == RESULT_OK && verb == CLAIM_VERB_SENT && vm->open[key]) {
		vm->sent[key] = true;
		sends[key]++;
	}
	vm->open[key] = false;
}

static void random_request_runs_at_most_once(void)
{
	unsigned int seed;

	for (seed = 1; seed <= 200; seed++) {
		struct rng rng = { seed };
		struct vm vms[VMS] = { 0 };
		int sends[KEYS] = { 0 };
		struct site site;
		int step;

		for (step = 0; step < VMS; step++)
			restart(&vms[step]);
		site_start(&site, "{}");
		for (step = 0; step < 150; step++) {
			int v = (int)rng_below(&rng, VMS);
			int key = (int)rng_below(&rng, KEYS);
			uint64_t member = (uint64_t)v + 1;

			switch (rng_below(&rng, 9)) {
			case 0:
			case 1:
				try_open(&site, &vms[v], member, key, sends,
					 rng_below(&rng, 2));
				break;
			case 2:
			case 3:
				go_on(&site, &vms[v], member, key, sends,
				      CLAIM_VERB_SENT);
				break;
			case 4:
				go_on(&site, &vms[v], member, key, sends,
				      CLAIM_VERB_DONE);
				break;
			case 5:
				go_on(&site, &vms[v], member, key, sends,
				      CLAIM_VERB_RELEASE);
				break;
			case 6: /* declared gone, but only paused */
				owner_gone(&site, member, vms[v].incarnation);
				break;
			case 7:
				restart(&vms[v]);
				break;
			default:
				site_restart(&site);
			}
			for (key = 0; key < KEYS; key++)
				g_assert_cmpint(sends[key], <=, 1);
		}
		site_stop(&site);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/resend",
			resend_meets_the_running_and_the_kept_answer);
	g_test_add_func("/claim/unknown",
			owner_that_died_after_sending_leaves_unknown);
	g_test_add_func("/claim/paused",
			paused_owner_that_wakes_up_may_not_send);
	g_test_add_func("/claim/restarted",
			restarted_owner_ends_the_claims_of_its_former_life);
	g_test_add_func("/claim/bounds",
			claims_are_bounded_and_marks_outlive_answers);
	g_test_add_func("/claim/clock", leap_of_one_clock_expires_no_claims);
	g_test_add_func("/claim/once", random_request_runs_at_most_once);
	return g_test_run();
}
