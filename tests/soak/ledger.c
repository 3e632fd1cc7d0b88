#include "ledger.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "server.h"
#include "vm.h"

#define ID_PREFIX "a5c4"
#define STARVED_SPAN_US (5 * SOAK_SECOND)
#define STARVED_STEP 10 /* requests */
#define STARVED_LEAST 10
#define STARVED_ONE_IN 12

struct ledger {
	struct soak *soak;
	int64_t steady_us; /* the site has had its time to start */
	GArray *asks;
	GArray *changes;
};

static const char *const prefixes[ASK_KINDS] = { "/once/", "/read/",
						 "/stream/p/", "/stream/r/" };

struct ledger *ledger_new(struct soak *soak)
{
	struct ledger *ledger = xcalloc(1, sizeof(*ledger));

	ledger->soak = soak;
	ledger->steady_us = edge_now_us() + SOAK_RECOVERY_US;
	ledger->asks = g_array_new(false, true, sizeof(struct ask));
	ledger->changes = g_array_new(false, true, sizeof(struct change));
	return ledger;
}

void ledger_free(struct ledger *ledger)
{
	g_array_free(ledger->asks, true);
	g_array_free(ledger->changes, true);
	free(ledger);
}

int ledger_ask(struct ledger *ledger, enum ask_kind kind, int entry,
	       int64_t key)
{
	struct ask ask = { .kind = kind,
			   .entry = entry,
			   .key = key,
			   .sent_us = edge_now_us(),
			   .first = ledger_count(ledger) };

	g_array_append_val(ledger->asks, ask);
	return (int)ledger->asks->len - 1;
}

int ledger_resume(struct ledger *ledger, int first, int entry)
{
	int64_t key = ledger_get(ledger, first)->key;
	int number = ledger_ask(ledger, ASK_RESUMED, entry, key);
	struct ask *ask = ledger_get(ledger, number);

	ask->first = first;
	ask->deadly = ledger_get(ledger, first)->deadly;
	return number;
}

struct ask *ledger_get(struct ledger *ledger, int number)
{
	return &g_array_index(ledger->asks, struct ask, number);
}

int ledger_first(const struct ledger *ledger, int number)
{
	return g_array_index(ledger->asks, struct ask, number).first;
}

int ledger_count(const struct ledger *ledger)
{
	return (int)ledger->asks->len;
}

void ledger_id(int number, char *text)
{
	snprintf(text, 24, ID_PREFIX "%08x", (unsigned int)number);
}

int ledger_number(const struct ledger *ledger, const char *id)
{
	char expected[24];
	long number;

	if (!id || strncmp(id, ID_PREFIX, strlen(ID_PREFIX)) != 0)
		return -1;
	number = strtol(id + strlen(ID_PREFIX), NULL, 16);
	if (number < 0 || number >= ledger_count(ledger))
		return -1;
	ledger_id((int)number, expected);
	return strcmp(id, expected) == 0 ? (int)number : -1;
}

char *ledger_path(const struct ledger *ledger, int number)
{
	const struct ask *ask =
		&g_array_index(ledger->asks, struct ask, number);

	return xstrfmt("%s%d", prefixes[ask->kind], ask->first);
}

/* Whether it may run at most once. */
static bool runs_once(const struct ask *ask)
{
	return ask->kind == ASK_ONCE || ask->kind == ASK_STREAM;
}

/* When the key of a version was withdrawn for sure, 0 if not. */
static int64_t withdrawn_us(const struct ledger *ledger, int64_t key)
{
	int64_t at_us = 0;
	guint i;

	for (i = 0; key && i < ledger->changes->len; i++) {
		const struct change *change =
			&g_array_index(ledger->changes, struct change, i);

		if (change->version > key && change->acked_us &&
		    (!at_us || change->acked_us < at_us))
			at_us = change->acked_us;
	}
	return at_us;
}

void ledger_runs(struct ledger *ledger, int number, bool resumes)
{
	struct ask *ask = ledger_get(ledger, number);
	int64_t dead_us = withdrawn_us(ledger, ask->key);

	ask->runs++;
	if (!ask->arrived_us)
		ask->arrived_us = edge_now_us();
	if (ask->runs > 1 && runs_once(ask))
		soak_violation(ledger->soak, "once", "request %d ran %d times",
			       number, ask->runs);
	if (ask->refused && runs_once(ask))
		soak_violation(ledger->soak, "not-run",
			       "request %d runs after its refusal", number);
	if (resumes && ask->kind != ASK_RESUMED)
		soak_violation(ledger->soak, "stream",
			       "request %d may not be resumed", number);
	if (dead_us && ask->sent_us > dead_us + SOAK_WITHDRAWN_US)
		soak_violation(ledger->soak, "key",
			       "request %d runs by key %" PRId64
			       ", withdrawn %" PRId64 " ms before it was sent",
			       number, ask->key,
			       (ask->sent_us - dead_us) / 1000);
}

static bool promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

void ledger_ends(struct ledger *ledger, int number, int status)
{
	struct ask *ask = ledger_get(ledger, number);

	ask->ended_us = edge_now_us();
	if (!servers_any_free(ledger->soak))
		ledger->soak->bound_us = ask->ended_us;
	ask->calm = ask->sent_us > ledger->steady_us &&
		    ask->sent_us > ledger->soak->bound_us &&
		    soak_calm_since(ledger->soak, ask->sent_us);
	ask->in_touch =
		vm_in_touch(ledger->soak->vms[SOAK_CONTROLS + ask->entry],
			    ask->sent_us);
	ask->refused = promises_not_run(status);
	if (ask->refused && ask->runs && runs_once(ask))
		soak_violation(ledger->soak, "not-run",
			       "request %d got %d and has run", number, status);
	if (!ask->key && status >= 400 && status < 500 && !ask->refused)
		soak_violation(ledger->soak, "denied", "request %d got %d",
			       number, status);
}

/* Urgent ones are small, those that may be resumed large and less urgent. */
static void count_span(const struct ledger *ledger, guint from, int *urgent,
		       int *nothing, int *larger)
{
	int64_t from_us = g_array_index(ledger->asks, struct ask, from).sent_us;
	guint i;

	for (i = from; i < ledger->asks->len; i++) {
		const struct ask *ask =
			&g_array_index(ledger->asks, struct ask, i);

		if (ask->sent_us > from_us + STARVED_SPAN_US)
			break;
		if (!ask->calm)
			*urgent = *nothing = *larger = 0;
		/* A key that changes may have been withdrawn. */
		if (!ask->calm || !ask->in_touch || ask->deadly || ask->key)
			continue;
		*urgent += ask->kind == ASK_STREAM;
		*nothing += ask->kind == ASK_STREAM && !ask->arrived_us;
		*larger += ask->kind == ASK_RESUMED && ask->arrived_us;
	}
}

void ledger_check_starved(struct ledger *ledger)
{
	guint i;

	for (i = 0; i < ledger->asks->len; i += STARVED_STEP) {
		int urgent = 0;
		int nothing = 0;
		int larger = 0;

		count_span(ledger, i, &urgent, &nothing, &larger);
		if (larger && nothing >= STARVED_LEAST &&
		    nothing * STARVED_ONE_IN > urgent) {
			soak_violation(ledger->soak, "starved",
				       "from request %u %d of %d urgent ones "
				       "got nothing, %d larger ones began",
				       i, nothing, urgent, larger);
			return;
		}
	}
}

void ledger_sent(struct ledger *ledger, int64_t version)
{
	struct change change = { version, 0 };

	g_array_append_val(ledger->changes, change);
}

void ledger_acked(struct ledger *ledger, int64_t version)
{
	guint i;

	for (i = 0; i < ledger->changes->len; i++) {
		struct change *change =
			&g_array_index(ledger->changes, struct change, i);

		if (change->version == version && !change->acked_us)
			change->acked_us = edge_now_us();
	}
}

int64_t ledger_acked_by(const struct ledger *ledger, int64_t before_us)
{
	int64_t version = 0;
	guint i;

	for (i = 0; i < ledger->changes->len; i++) {
		const struct change *change =
			&g_array_index(ledger->changes, struct change, i);

		if (change->acked_us && change->acked_us <= before_us &&
		    change->version > version)
			version = change->version;
	}
	return version;
}

void ledger_read(struct ledger *ledger, const char *from, int64_t version,
		 int64_t sent_us)
{
	int64_t held = ledger_acked_by(ledger, sent_us - SOAK_APPLY_US);
	bool known = false;
	guint i;

	for (i = 0; i < ledger->changes->len; i++)
		known |= g_array_index(ledger->changes, struct change, i)
				 .version == version;
	if (!known)
		soak_violation(ledger->soak, "document",
			       "%s reads version %" PRId64 ", never sent", from,
			       version);
	if (version < held)
		soak_violation(ledger->soak, "document",
			       "%s reads version %" PRId64 " after %" PRId64
			       " was acknowledged",
			       from, version, held);
}
