#include <glib.h>
#include <string.h>

#include "agree/codec.h"
#include "base/alloc.h"
#include "base/rng.h"
#include "core/effect.h"
#include "site.h"
#include "usage/merge.h"
#include "usage/report.h"
#include "usage/window.h"

#define VMS 5
#define ORGANISATIONS 3
#define TICK_US INT64_C(250000)
#define WINDOW_US (10 * SITE_SECOND_US)
#define GRACE_US (3 * SITE_SECOND_US)
#define MAX_WINDOWS 1200
#define FIRST_US (100 * WINDOW_US)

static const char *const organisations[ORGANISATIONS] = { "yard", "college",
							  "archive" };

/* A message under way. */
struct mail {
	struct list node;
	int from;
	int to;
	int64_t due_us;
	struct bytes body;
};

struct vm {
	struct usage *usage;
	uint64_t incarnation;
	int64_t clock_us;    /* error of its wall clock */
	int64_t clock_until; /* then right again; 0: it is right */
	int64_t down_until;
	int64_t cut_until;
	int64_t counted[40]; /* tokens a tick, of the last ticks */
};

struct bench {
	struct rng rng;
	struct agreed *agreed;
	struct report *report;
	struct vm vms[VMS];
	struct list mails;
	int holder;
	int64_t now_us;
	int64_t index;
	bool faults;
	int64_t truth[MAX_WINDOWS][ORGANISATIONS];
	int64_t billed[MAX_WINDOWS][ORGANISATIONS];
	char *reported[MAX_WINDOWS]; /* what the platform took for a window */
	struct bytes order;	     /* of the report under way */
	char *order_id;
	int64_t order_due_us;
	int order_fate;
	int64_t at_risk; /* tokens that crashes may have lost */
	int late;
	int wrong;
	int reports;
	int crashes;
	int changes;
};

static bool is_up(const struct bench *bench, int v)
{
	return bench->vms[v].down_until <= bench->now_us;
}

static bool is_reachable(const struct bench *bench, int v)
{
	return is_up(bench, v) && bench->vms[v].cut_until <= bench->now_us;
}

static void mail_free(struct mail *mail)
{
	list_remove(&mail->node);
	bytes_clear(&mail->body);
	free(mail);
}

static void post(struct bench *bench, int from, int to, struct bytes *body)
{
	int copies = 1;

	if (bench->faults && !rng_below(&bench->rng, 40))
		copies = (int)rng_below(&bench->rng, 3);
	for (; copies; copies--) {
		struct mail *mail = xcalloc(1, sizeof(*mail));

		mail->from = from;
		mail->to = to;
		mail->body = bytes_copy(body);
		mail->due_us = bench->now_us +
			       (int64_t)rng_below(&bench->rng, 2 * TICK_US);
		list_append(&bench->mails, &mail->node);
	}
	bytes_clear(body);
}

static void deliver(struct bench *bench)
{
	struct mail *mail;
	struct mail *next;

	list_foreach_safe(mail, next, &bench->mails, node) {
		struct bytes reply = { 0 };

		if (mail->due_us > bench->now_us)
			continue;
		if (is_reachable(bench, mail->to) &&
		    is_reachable(bench, mail->from)) {
			g_assert_cmpint(
				usage_receive(bench->vms[mail->to].usage,
					      (uint64_t)mail->from + 1,
					      &mail->body, bench->now_us,
					      &reply),
				==, RESULT_OK);
			if (reply.len)
				post(bench, mail->to, mail->from, &reply);
		}
		mail_free(mail);
	}
}

static void vm_count(struct bench *bench, int v)
{
	struct vm *vm = &bench->vms[v];
	int o = (int)rng_below(&bench->rng, ORGANISATIONS);
	struct usage_counters add = { .requests = 1 };
	int64_t window = usage_window(vm->usage) - FIRST_US / WINDOW_US;

	add.output_tokens = 1 + (int64_t)rng_below(&bench->rng, 50);
	usage_count(vm->usage, organisations[o], "caption", &add);
	g_assert_cmpint(window, <, MAX_WINDOWS);
	bench->truth[window][o] += add.output_tokens;
	vm->counted[0] += add.output_tokens;
}

/* A copy holder: the next VM that can be reached. */
static int copy_of(const struct bench *bench, int v)
{
	int i;

	for (i = 1; i < VMS; i++)
		if (is_reachable(bench, (v + i) % VMS))
			return (v + i) % VMS;
	return v;
}

static void vm_tick(struct bench *bench, int v)
{
	struct vm *vm = &bench->vms[v];
	int copy = copy_of(bench, v);
	int to;

	memmove(&vm->counted[1], &vm->counted[0],
		sizeof(vm->counted) - sizeof(vm->counted[0]));
	vm->counted[0] = 0;
	if (vm->clock_until && vm->clock_until <= bench->now_us)
		vm->clock_us = vm->clock_until = 0;
	usage_tick(vm->usage, WINDOW_US, bench->now_us + vm->clock_us,
		   bench->now_us);
	if (rng_below(&bench->rng, 3))
		vm_count(bench, v);
	usage_peers(vm->usage, (uint64_t)bench->holder + 1, (uint64_t)copy + 1);
	for (to = 0; to < VMS; to++) {
		struct bytes body = { 0 };

		while (usage_next_message(vm->usage, (uint64_t)to + 1,
					  bench->now_us, 1024, &body)) {
			g_assert_cmpuint(body.len, <=, 1024);
			post(bench, v, to, &body);
		}
	}
}

static void apply(struct bench *bench, struct bytes *entry)
{
	struct applied applied;

	agreed_apply(bench->agreed, entry->data, entry->len, ++bench->index,
		     &applied);
	applied_clear(&applied);
	bytes_clear(entry);
}

static struct entry_head entry_head_of(const struct bench *bench)
{
	struct entry_head head = { .origin = (uint64_t)bench->holder + 1,
				   .incarnation = 1,
				   .time_us = bench->now_us };

	return head;
}

static void holder_close(struct bench *bench)
{
	uint64_t members[VMS];
	struct report_situation situation = {
		.usage = bench->vms[bench->holder].usage,
		.windows = agreed_windows(bench->agreed),
		.members = members,
		.window_us = WINDOW_US,
		.grace_us = GRACE_US,
		.now_us = bench->now_us,
	};
	struct entry_head head = entry_head_of(bench);
	struct bytes entry = { 0 };
	int64_t window;
	json_t *rows;
	int v;

	for (v = 0; v < VMS; v++)
		if (is_reachable(bench, v))
			members[situation.n_members++] = (uint64_t)v + 1;
	window = report_due(bench->report, &situation);
	if (window < 0)
		return;
	rows = report_figures(&situation, window);
	entry_window(&entry, &head, window, rows);
	json_decref(rows);
	apply(bench, &entry);
}

/* The platform keeps the first figures of a window, as it should. */
static void platform_take(struct bench *bench, json_t *report)
{
	int64_t window = codec_int(report, "window", -1) - FIRST_US / WINDOW_US;
	json_t *list = json_object_get(report, "organisations");
	char *figures = json_dumps(list, JSON_COMPACT | JSON_SORT_KEYS);
	json_t *row;
	size_t i;

	bench->reports++;
	if (bench->reported[window]) {
		bench->wrong += strcmp(bench->reported[window], figures) != 0;
		free(figures);
		return;
	}
	bench->reported[window] = figures;
	if (bench->now_us > FIRST_US + (window + 1) * WINDOW_US + 2 * GRACE_US)
		bench->late++;
	json_array_foreach(list, i, row) {
		int64_t of = codec_int(row, "correction_of", -1);
		const char *name = codec_text(row, "name", "");
		int o = 0;

		of = of < 0 ? window : of - FIRST_US / WINDOW_US;
		while (o < ORGANISATIONS - 1 && strcmp(organisations[o], name))
			o++;
		g_assert_cmpstr(organisations[o], ==, name);
		bench->billed[of][o] += codec_int(row, "output_tokens", 0);
	}
}

static void holder_answer(struct bench *bench, enum result code)
{
	struct entry_head head = entry_head_of(bench);
	struct bytes entry = { 0 };
	bool accepted = false;
	int64_t window;

	window = report_answer(bench->report, bench->order_id, code, &accepted);
	if (window < 0)
		return;
	entry_window_settled(&entry, &head, window, accepted);
	apply(bench, &entry);
}

/* The call reaches the platform, unless it is lost, perhaps doubled. */
static void platform_carry_out(struct bench *bench)
{
	json_t *report =
		json_loadb(bench->order.data, bench->order.len, 0, NULL);

	if (bench->order_fate != 1)
		platform_take(bench, report);
	if (bench->order_fate == 3)
		platform_take(bench, report);
	json_decref(report);
	bytes_clear(&bench->order);
}

static void platform_tick(struct bench *bench)
{
	bool lost = bench->order_fate == 1 || bench->order_fate == 2;

	if (!bench->order_id || bench->order_due_us > bench->now_us)
		return;
	platform_carry_out(bench);
	holder_answer(bench, lost ? RESULT_PLATFORM_UNKNOWN : RESULT_OK);
	g_clear_pointer(&bench->order_id, free);
}

static void holder_report(struct bench *bench)
{
	struct effects effects;
	struct effect *effect;

	effects_init(&effects);
	report_tick(bench->report, agreed_windows(bench->agreed), 1, INT64_MAX,
		    bench->now_us, &effects);
	while ((effect = effects_take(&effects))) {
		struct effect_platform_call *call = &effect->u.platform_call;

		g_assert_null(bench->order_id);
		bench->order = bytes_copy(&call->body);
		bench->order_id = xstrdup(call->order_id);
		bench->order_fate =
			bench->faults ? (int)rng_below(&bench->rng, 8) : 0;
		bench->order_due_us =
			bench->now_us +
			(int64_t)rng_below(&bench->rng, 4 * TICK_US);
		effect_free(effect);
	}
}

/*
 * The new holder begins anew once the old one's lease is over, within which
 * its last call ends; the answer finds no one.
 */
static void change_holder(struct bench *bench)
{
	int v;

	for (v = 0; v < VMS; v++) {
		int next = (bench->holder + 1 + v) % VMS;

		if (!is_reachable(bench, next))
			continue;
		if (bench->order_id)
			platform_carry_out(bench);
		g_clear_pointer(&bench->order_id, free);
		bench->holder = next;
		bench->changes++;
		report_reset(bench->report);
		return;
	}
}

static void start_vm(struct vm *vm, int v)
{
	vm->usage = usage_new((uint64_t)v + 1, ++vm->incarnation);
	memset(vm->counted, 0, sizeof(vm->counted));
}

/* What it counted in the last seconds may be known to no one else. */
static void crash(struct bench *bench, int v)
{
	struct vm *vm = &bench->vms[v];
	size_t i;

	for (i = 0; i < 5 * SITE_SECOND_US / TICK_US; i++)
		bench->at_risk += vm->counted[i];
	usage_free(vm->usage);
	start_vm(vm, v);
	vm->clock_us = vm->clock_until = 0;
	vm->down_until = bench->now_us + 5 * SITE_SECOND_US +
			 (int64_t)rng_below(&bench->rng, 20 * SITE_SECOND_US);
	bench->crashes++;
}

static bool all_well(const struct bench *bench, int64_t since_us)
{
	int v;

	for (v = 0; v < VMS; v++)
		if (bench->vms[v].down_until + since_us > bench->now_us ||
		    bench->vms[v].cut_until + since_us > bench->now_us)
			return false;
	return true;
}

static void random_fault(struct bench *bench)
{
	struct vm *vm = &bench->vms[rng_below(&bench->rng, VMS)];
	int64_t span = (int64_t)rng_below(&bench->rng, 60 * SITE_SECOND_US);

	switch (rng_below(&bench->rng, 4)) {
	case 0: /* one VM at a time loses its memory */
		if (all_well(bench, 10 * SITE_SECOND_US))
			crash(bench, (int)(vm - bench->vms));
		break;
	case 1:
		if (all_well(bench, 10 * SITE_SECOND_US))
			vm->cut_until = bench->now_us + span;
		break;
	case 2: /* a step that lasts for longer or shorter than it is held */
		vm->clock_us =
			(int64_t)rng_below(&bench->rng, 80 * SITE_SECOND_US) -
			40 * SITE_SECOND_US;
		vm->clock_until = bench->now_us + 2 * span;
		break;
	default:
		change_holder(bench);
	}
}

static void step(struct bench *bench)
{
	int v;

	bench->now_us += TICK_US;
	if (bench->faults && !rng_below(&bench->rng, 40))
		random_fault(bench);
	if (!is_reachable(bench, bench->holder))
		change_holder(bench);
	deliver(bench);
	for (v = 0; v < VMS; v++)
		if (is_up(bench, v))
			vm_tick(bench, v);
	holder_close(bench);
	holder_report(bench);
	platform_tick(bench);
}

static void bench_start(struct bench *bench, unsigned int seed)
{
	int v;

	memset(bench, 0, sizeof(*bench));
	bench->rng.state = seed;
	bench->agreed = agreed_new();
	bench->report = report_new();
	bench->now_us = FIRST_US;
	list_init(&bench->mails);
	for (v = 0; v < VMS; v++)
		start_vm(&bench->vms[v], v);
}

static void bench_stop(struct bench *bench)
{
	struct mail *mail;
	struct mail *next;
	int v;

	list_foreach_safe(mail, next, &bench->mails, node)
		mail_free(mail);
	for (v = 0; v < VMS; v++)
		usage_free(bench->vms[v].usage);
	for (v = 0; v < MAX_WINDOWS; v++)
		free(bench->reported[v]);
	bytes_clear(&bench->order);
	free(bench->order_id);
	agreed_free(bench->agreed);
	report_free(bench->report);
}

/*
 * 1,000 windows with crashes, cut-off VMs, clock steps, changes of the one in
 * charge, messages lost, doubled and crossed, and reports whose call or answer
 * is lost or doubled. No window may be reported with two sets of figures, and
 * each organisation must be billed for what it got: all of it, but for what a
 * crashed VM had told no one, and never more.
 */
static void usage_is_billed_once_through_1000_windows(void)
{
	struct bench *bench = g_new0(struct bench, 1);
	int64_t truth = 0;
	int64_t billed = 0;
	int w;
	int o;

	bench_start(bench, 6);
	bench->faults = true;
	while (bench->now_us < FIRST_US + 1000 * WINDOW_US)
		step(bench);
	bench->faults = false;
	while (bench->now_us < FIRST_US + 1050 * WINDOW_US)
		step(bench);
	g_assert_cmpint(bench->wrong, ==, 0);
	for (w = 0; w < 1040; w++) {
		for (o = 0; o < ORGANISATIONS; o++) {
			g_assert_cmpint(bench->billed[w][o], <=,
					bench->truth[w][o]);
			truth += bench->truth[w][o];
			billed += bench->billed[w][o];
		}
	}
	g_test_message("%d windows, %d reports, %d late, %d wrong; %d crashes, "
		       "%d changes of holder; %ld tokens, %ld lost, %ld were "
		       "at risk",
		       w, bench->reports, bench->late, bench->wrong,
		       bench->crashes, bench->changes, (long)truth,
		       (long)(truth - billed), (long)bench->at_risk);
	g_assert_cmpint(truth - billed, <=, bench->at_risk);
	g_assert_cmpint(bench->crashes, >, 20);
	g_assert_cmpint(bench->changes, >, 100);
	bench_stop(bench);
	g_free(bench);
}

/* Without faults nothing is lost and nothing comes late. */
static void quiet_site_bills_all_in_time(void)
{
	struct bench *bench = g_new0(struct bench, 1);
	int w;
	int o;

	bench_start(bench, 1);
	while (bench->now_us < FIRST_US + 50 * WINDOW_US)
		step(bench);
	for (w = 0; w < 48; w++)
		for (o = 0; o < ORGANISATIONS; o++)
			g_assert_cmpint(bench->billed[w][o], ==,
					bench->truth[w][o]);
	g_assert_cmpint(bench->late, ==, 0);
	bench_stop(bench);
	g_free(bench);
}

/*
 * A VM dies. What it counted up to a second before must be known to its copy
 * holder, and reach the one in charge, who never heard of that VM.
 */
static void loss_of_a_vm_loses_at_most_the_last_second(void)
{
	struct usage *lost = usage_new(1, 1);
	struct usage *copy = usage_new(2, 1);
	struct usage *holder = usage_new(3, 1);
	struct usage_counters one = { .requests = 1 };
	struct bytes body = { 0 };
	struct bytes reply = { 0 };
	int64_t sums = 0;
	int64_t now;

	usage_peers(lost, 0, 2);
	usage_peers(copy, 3, 0);
	for (now = 0; now <= 10; now++) {
		int64_t now_us = now * SITE_SECOND_US / 2;

		usage_tick(lost, WINDOW_US, now_us, now_us);
		usage_tick(copy, WINDOW_US, now_us, now_us);
		usage_count(lost, "yard", "caption", &one);
		while (usage_next_message(lost, 2, now_us, 1024, &body)) {
			usage_receive(copy, 1, &body, now_us, &reply);
			bytes_clear(&body);
			bytes_clear(&reply);
		}
	}
	usage_free(lost);
	for (now = 11; now <= 30; now++) {
		int64_t now_us = now * SITE_SECOND_US / 2;

		usage_tick(copy, WINDOW_US, now_us, now_us);
		while (usage_next_message(copy, 3, now_us, 1024, &body)) {
			usage_receive(holder, 2, &body, now_us, &reply);
			bytes_clear(&body);
			bytes_clear(&reply);
		}
	}
	for (now = 0; now < 2; now++) {
		json_t *rows;
		struct windows *none = windows_new();
		struct report_situation situation = { .usage = holder,
						      .windows = none };

		rows = report_figures(&situation, now);
		sums += codec_int(json_array_get(rows, 0), "requests", 0);
		json_decref(rows);
		windows_free(none);
	}
	g_assert_cmpint(sums, >=, 9);
	g_assert_cmpint(usage_lost_us(copy, 1, 15 * SITE_SECOND_US), ==,
			10 * SITE_SECOND_US);
	usage_free(copy);
	usage_free(holder);
}

/* One message of `from`, handed to `to` (and answered) unless it is lost. */
static bool pass_on(struct usage *from, struct usage *to, int64_t now_us,
		    bool lost)
{
	struct bytes body = { 0 };
	struct bytes reply = { 0 };
	bool sent = usage_next_message(from, 2, now_us, 1024, &body);

	if (sent && !lost) {
		usage_receive(to, 1, &body, now_us, &reply);
		usage_receive(from, 2, &reply, now_us, NULL);
	}
	bytes_clear(&body);
	bytes_clear(&reply);
	return sent;
}

/*
 * A link breaks with a message on its way; the next one comes through. The
 * receiver must not acknowledge over the gap, or the lost counts would stay
 * unknown until the same organisation is counted again.
 */
static void message_lost_with_its_link_is_sent_again(void)
{
	struct usage *usage = usage_new(1, 1);
	struct usage *holder = usage_new(2, 1);
	struct usage_counters one = { .requests = 1 };
	int64_t second;

	usage_peers(usage, 2, 0);
	usage_tick(usage, WINDOW_US, FIRST_US, 0);
	usage_count(usage, "yard", "caption", &one);
	g_assert_true(pass_on(usage, holder, 0, true));
	usage_count(usage, "college", "caption", &one);
	for (second = 1; second <= 5; second++)
		while (pass_on(usage, holder, second * SITE_SECOND_US, false))
			;
	g_assert_cmpuint(usage_rows(holder), ==, 2);
	usage_free(usage);
	usage_free(holder);
}

/*
 * A VM's wall clock leaps an hour ahead for half a minute, as after a resume
 * from a wrong host. It must count nothing into the windows of that hour; a
 * step that lasts is followed, but never back.
 */
static void leap_of_a_clock_moves_no_window_at_once(void)
{
	struct usage *usage = usage_new(1, 1);
	int64_t leap = 360 * WINDOW_US;
	int64_t now;

	usage_tick(usage, WINDOW_US, FIRST_US, 0);
	for (now = 1; now <= 30; now++)
		usage_tick(usage, WINDOW_US,
			   FIRST_US + leap + now * SITE_SECOND_US,
			   now * SITE_SECOND_US);
	g_assert_cmpint(usage_window(usage), ==, FIRST_US / WINDOW_US + 3);
	usage_tick(usage, WINDOW_US, FIRST_US + 31 * SITE_SECOND_US,
		   31 * SITE_SECOND_US);
	for (now = 32; now <= 100; now++)
		usage_tick(usage, WINDOW_US,
			   FIRST_US + leap + now * SITE_SECOND_US,
			   now * SITE_SECOND_US);
	g_assert_cmpint(usage_window(usage), ==,
			(FIRST_US + leap) / WINDOW_US + 10);
	usage_tick(usage, WINDOW_US, FIRST_US, 101 * SITE_SECOND_US);
	g_assert_cmpint(usage_window(usage), ==,
			(FIRST_US + leap) / WINDOW_US + 10);
	usage_free(usage);
}

/*
 * The one in charge has a clock that is a day ahead for good. Were it to
 * close what its clock calls over, no figures could be committed any more for
 * the windows that the other two are still in.
 */
static void holder_a_day_ahead_closes_nothing_early(void)
{
	struct usage *holder = usage_new(1, 1);
	struct windows *windows = windows_new();
	struct report *report = report_new();
	uint64_t members[] = { 1, 2, 3 };
	struct report_situation situation = { .usage = holder,
					      .windows = windows,
					      .members = members,
					      .n_members = 3,
					      .window_us = WINDOW_US,
					      .grace_us = GRACE_US };
	struct usage_counters one = { .requests = 1 };
	struct bytes body = { 0 };
	struct bytes reply = { 0 };
	uint64_t other;

	usage_tick(holder, WINDOW_US, FIRST_US + 8640 * WINDOW_US, 0);
	for (other = 2; other <= 3; other++) {
		struct usage *usage = usage_new(other, 1);

		usage_tick(usage, WINDOW_US, FIRST_US, 0);
		usage_peers(usage, 1, 0);
		usage_count(usage, "yard", "caption", &one);
		usage_next_message(usage, 1, 0, 1024, &body);
		usage_receive(holder, other, &body, 0, &reply);
		bytes_clear(&body);
		bytes_clear(&reply);
		usage_free(usage);
	}
	for (; situation.now_us < 3 * GRACE_US;
	     situation.now_us += SITE_SECOND_US)
		g_assert_cmpint(report_due(report, &situation), ==, -1);
	report_free(report);
	windows_free(windows);
	usage_free(holder);
}

/* Platform answers to one committed window, and what is sent again. */
static void platform_answer_lost_doubled_and_refused(void)
{
	struct windows *windows = windows_new();
	struct report *report = report_new();
	json_t *rows = json_pack("[{s:s s:i s:i s:i s:n}]", "name", "yard",
				 "requests", 1, "prompt_tokens", 2,
				 "output_tokens", 3, "correction_of");
	struct effects effects;
	struct effect *first;
	struct effect *again;
	bool accepted;
	int i;

	effects_init(&effects);
	windows_commit(windows, 7, rows);
	report_tick(report, windows, 4, SITE_SECOND_US, 0, &effects);
	g_assert_null(effects_take(&effects)); /* the lease ends before */
	report_tick(report, windows, 4, 9 * SITE_SECOND_US, 0, &effects);
	first = effects_take(&effects);
	g_assert_cmpint(report_answer(report, "usage-7",
				      RESULT_PLATFORM_UNKNOWN, &accepted),
			==, -1);
	report_tick(report, windows, 4, INT64_MAX, 30 * SITE_SECOND_US,
		    &effects);
	again = effects_take(&effects);
	g_assert_cmpstr(first->u.platform_call.order_id, ==, "usage-7");
	g_assert_true(bytes_equal(&first->u.platform_call.body,
				  &again->u.platform_call.body));
	g_assert_cmpint(report_answer(report, "usage-6", RESULT_OK, &accepted),
			==, -1);
	for (i = 0; i < 2; i++)
		g_assert_cmpint(report_answer(report, "usage-7",
					      RESULT_PLATFORM_REFUSED,
					      &accepted),
				==, -1);
	g_assert_cmpint(report_answer(report, "usage-7",
				      RESULT_PLATFORM_REFUSED, &accepted),
			==, 7);
	g_assert_false(accepted);
	g_assert_cmpint(windows_settle(windows, 7, false), ==, RESULT_OK);
	g_assert_cmpint(windows_settle(windows, 7, true), ==, RESULT_NOT_FOUND);
	g_assert_cmpint(windows_commit(windows, 7, rows), ==, RESULT_CONFLICT);
	effect_free(first);
	effect_free(again);
	json_decref(rows);
	report_free(report);
	windows_free(windows);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/usage/quiet", quiet_site_bills_all_in_time);
	g_test_add_func("/usage/loss",
			loss_of_a_vm_loses_at_most_the_last_second);
	g_test_add_func("/usage/gap", message_lost_with_its_link_is_sent_again);
	g_test_add_func("/usage/leap", leap_of_a_clock_moves_no_window_at_once);
	g_test_add_func("/usage/ahead",
			holder_a_day_ahead_closes_nothing_early);
	g_test_add_func("/usage/platform",
			platform_answer_lost_doubled_and_refused);
	g_test_add_func("/usage/faults",
			usage_is_billed_once_through_1000_windows);
	return g_test_run();
}
