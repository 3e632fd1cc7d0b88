#include "usage_bench.h"

#include <glib.h>
#include <string.h>

#include "agree/codec.h"
#include "base/alloc.h"
#include "core/effect.h"

static const char *const organisations[ORGANISATIONS] = { "yard", "college",
							  "archive" };

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

/* The VM that holds the copy of `v`: the next reachable one. */
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
	struct apply_result applied;

	agreed_apply(bench->agreed, entry->data, entry->len, ++bench->index,
		     &applied);
	apply_result_clear(&applied);
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

/* The platform keeps the first figures that it receives for a window. */
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

/* The call arrives at the platform once or twice, unless it is lost. */
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
 * The new lease holder starts without state after the old lease has expired.
 * The old holder's last call ends before that; its answer is dropped.
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

/* Counts of the last five seconds may not have been sent to another VM. */
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

void usage_bench_step(struct bench *bench)
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

void usage_bench_start(struct bench *bench, unsigned int seed)
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

void usage_bench_stop(struct bench *bench)
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
