#include "callers.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "ledger.h"
#include "operator.h"
#include "platform/names.h"
#include "vm.h"

#define CALLERS 24
#define THINK_MS 120
#define EVENTS 5
/* A caller's own patience: longer than the site may keep it waiting. */
#define PATIENCE_MS (SOAK_TIMEOUT_MS + 4000)
/* Beside what the site may take: the machine may be busy. */
#define HELD_US ((SOAK_TIMEOUT_MS + 1500) * SOAK_MS)
/* Of a hundred requests: moved to another VM, and with a key that changes. */
#define MOVES 15
#define CHANGING_KEYS 50

struct caller {
	struct callers *callers;
	ev_timer think;
	struct http_call *call;
	int entry;
	int number;
	int status;
	bool is_signed;
	struct bytes body;
};

struct callers {
	struct soak *soak;
	struct http_client *client;
	struct caller all[CALLERS];
	struct callers_tally tally;
};

static bool chance(struct soak *soak, unsigned int percent)
{
	return rng_below(&soak->rng, 100) < percent;
}

static void on_head(void *data, const struct http_head *head)
{
	struct caller *caller = data;
	const char *id = http_head_get(head, HEADER_REQUEST_ID);
	char expected[24];

	ledger_id(caller->number, expected);
	if (id && strcmp(id, expected) != 0)
		soak_violation(caller->callers->soak, "mixed",
			       "request %d got the answer of %s",
			       caller->number, id);
	caller->status = head->status;
	caller->is_signed = http_head_get(head, HEADER_SIGNATURE) != NULL;
}

static void on_body(void *data, const char *piece, size_t len)
{
	struct caller *caller = data;

	bytes_append(&caller->body, piece, len);
}

static void expect(const struct caller *caller, struct bytes *out)
{
	const struct ledger *ledger = caller->callers->soak->ledger;
	cleanup(free_ptr) char *path = ledger_path(ledger, caller->number);
	int i;

	if (!strstr(path, "/stream/")) {
		bytes_append_format(out, "%s\n", path);
		return;
	}
	for (i = 1; i <= EVENTS; i++)
		bytes_append_format(out, "id: %d\ndata: %d of %d\n\n", i, i,
				    caller->number);
}

/* A success is the server's whole answer; a part is a beginning of it. */
static void check_success(struct caller *caller, bool whole)
{
	struct soak *soak = caller->callers->soak;
	struct bytes expected = { 0 };

	expect(caller, &expected);
	if (!caller->is_signed)
		soak_violation(soak, "mixed",
			       "request %d: success without a signature",
			       caller->number);
	else if (whole && !bytes_equal(&caller->body, &expected))
		soak_violation(soak, "whole", "request %d: %zu of %zu bytes",
			       caller->number, caller->body.len, expected.len);
	else if (!whole && (caller->body.len > expected.len ||
			    memcmp(caller->body.data ? caller->body.data : "",
				   expected.data, caller->body.len) != 0))
		soak_violation(soak, "whole", "request %d: wrong pieces",
			       caller->number);
	bytes_clear(&expected);
}

static void check_held(struct caller *caller)
{
	struct soak *soak = caller->callers->soak;
	const struct ask *ask = ledger_get(soak->ledger, caller->number);

	if (ask->ended_us - ask->sent_us > HELD_US &&
	    soak_calm_since(soak, ask->sent_us))
		soak_violation(soak, "held",
			       "request %d ended after %" PRId64 " ms",
			       caller->number,
			       (ask->ended_us - ask->sent_us) / 1000);
}

/* A planned stop cuts nothing that its VM has handed on. */
static void check_cut(struct caller *caller)
{
	struct soak *soak = caller->callers->soak;
	const struct ask *ask = ledger_get(soak->ledger, caller->number);
	const struct vm *vm = soak->vms[SOAK_CONTROLS + caller->entry];
	int64_t grace_us = (SOAK_GRACE_S - 1) * SOAK_SECOND;

	if (vm->stopping && ask->arrived_us &&
	    ask->ended_us < vm->stop_us + grace_us &&
	    soak_calm_since(soak, ask->sent_us))
		soak_violation(soak, "stop",
			       "request %d was cut by the stop of %s",
			       caller->number, vm->name);
}

static void count(struct caller *caller, enum result code)
{
	struct callers_tally *tally = &caller->callers->tally;

	if (!code && caller->status >= 200 && caller->status < 300)
		tally->served++;
	else if (caller->status == 503)
		tally->refused++;
	else
		tally->failed++;
}

static void think(struct caller *caller);

static void on_end(void *data, enum result code, bool sent)
{
	struct caller *caller = data;
	bool success = caller->status >= 200 && caller->status < 300;

	caller->call = NULL;
	ledger_ends(caller->callers->soak->ledger, caller->number,
		    code && !success ? 0 : caller->status);
	if (success)
		check_success(caller, code == RESULT_OK);
	check_held(caller);
	if (code && sent)
		check_cut(caller);
	count(caller, code);
	think(caller);
}

static const struct http_call_hooks hooks = { on_head, on_body, on_end };

static void write_head(const struct caller *caller, const char *key,
		       struct bytes *head)
{
	const struct ledger *ledger = caller->callers->soak->ledger;
	cleanup(free_ptr) char *path = ledger_path(ledger, caller->number);
	const struct ask *ask =
		ledger_get(caller->callers->soak->ledger, caller->number);
	char id[24];

	ledger_id(caller->number, id);
	bytes_append_format(head,
			    "%s %s HTTP/1.1\r\nHost: a.example\r\n"
			    "Authorization: Bearer %s\r\n%s: %s\r\n"
			    "%s: %d\r\nContent-Length: 4\r\n\r\nbody",
			    ask->kind == ASK_READ ? "GET" : "POST", path, key,
			    HEADER_REQUEST_ID, id, HEADER_WAIT_MS,
			    SOAK_TIMEOUT_MS);
}

/* Also to a VM that isn't ready, as long as its connections are open. */
static void on_think(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct caller *caller = timer->data;
	struct soak *soak = caller->callers->soak;
	struct http_call_request request = { .timeout_ms = PATIENCE_MS };
	struct bytes head = { 0 };
	int64_t version = 0;
	char key[32];

	if (chance(soak, MOVES))
		caller->entry = (int)rng_below(&soak->rng, SOAK_ENTRIES);
	if (chance(soak, CHANGING_KEYS))
		version = operator_any_key(soak->operator);
	operator_key_text(version, key);
	caller->number =
		ledger_ask(soak->ledger,
			   (enum ask_kind)rng_below(&soak->rng, ASK_KINDS),
			   caller->entry, version);
	caller->status = 0;
	caller->is_signed = false;
	caller->body.len = 0;
	caller->callers->tally.asked++;
	write_head(caller, key, &head);
	request.address = soak->vms[SOAK_CONTROLS + caller->entry]->callers_at;
	request.head = &head;
	caller->call = http_call_start(caller->callers->client, &request,
				       &hooks, caller);
	bytes_clear(&head);
}

static void think(struct caller *caller)
{
	struct soak *soak = caller->callers->soak;

	soak_timer(soak, &caller->think, on_think,
		   1 + (int64_t)rng_below(&soak->rng, THINK_MS), caller);
}

struct callers *callers_new(struct soak *soak)
{
	struct http_client_options options = { NULL, 1000, 2000, CALLERS };
	struct callers *callers = xcalloc(1, sizeof(*callers));
	int i;

	callers->soak = soak;
	callers->client = http_client_new(&soak->loop, &options);
	for (i = 0; i < CALLERS; i++) {
		callers->all[i].callers = callers;
		callers->all[i].entry = i % SOAK_ENTRIES;
		think(&callers->all[i]);
	}
	return callers;
}

void callers_free(struct callers *callers)
{
	int i;

	http_client_free(callers->client);
	for (i = 0; i < CALLERS; i++) {
		ev_timer_stop(callers->soak->ev, &callers->all[i].think);
		bytes_clear(&callers->all[i].body);
	}
	free(callers);
}

struct callers_tally callers_tally(const struct callers *callers)
{
	return callers->tally;
}
