/*
 * What the agreed state costs: bytes held and carried, and processor time, by
 * organisation, key, claim and row of usage. Prints a Markdown table whose
 * slopes feed docs/CAPACITY.md. Times are of the machine that ran it.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "agree/apply.h"
#include "agree/codec.h"
#include "base/alloc.h"
#include "usage/merge.h"

#define ORGANISATIONS 4500
#define KEYS 9000
#define CLAIMS 100000
#define BATCH 200
#define ROWS 4500

struct cost {
	struct agreed *agreed;
	int64_t index;
	size_t bytes;	  /* held when the part began */
	int64_t began_ns; /* processor time then */
};

static int64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return now.tv_sec * INT64_C(1000000000) + now.tv_nsec;
}

static void begin(struct cost *cost)
{
	cost->bytes = mallinfo2().uordblks;
	cost->began_ns = cpu_ns();
}

/* One row: what, how many, microseconds and held bytes of each. */
static void end(const struct cost *cost, const char *what, int64_t n,
		double carried)
{
	double us = (double)(cpu_ns() - cost->began_ns) / 1000;
	double held = (double)mallinfo2().uordblks - (double)cost->bytes;

	printf("| %s | %lld | %.2f | %.0f | %.0f |\n", what, (long long)n,
	       us / (double)n, held / (double)n, carried / (double)n);
}

static void apply(struct cost *cost, struct bytes *entry)
{
	struct apply_result applied;

	agreed_apply(cost->agreed, entry->data, entry->len, ++cost->index,
		     &applied);
	if (applied.code != RESULT_OK) {
		fprintf(stderr, "%s\n", result_name(applied.code));
		exit(1);
	}
	apply_result_clear(&applied);
	bytes_clear(entry);
}

static struct entry_head head_of(const struct cost *cost)
{
	struct entry_head head = { .origin = 1,
				   .incarnation = 1,
				   .operator_id = "root",
				   .time_us = 1000000 + cost->index };

	return head;
}

static json_t *organisations(int burst_s)
{
	json_t *values = json_object();
	char path[80];
	int i;

	for (i = 0; i < ORGANISATIONS; i++) {
		snprintf(path, sizeof(path),
			 "team/calves/organisation/organisation-%d", i);
		json_object_set_new(values, path,
				    json_pack("{s:i s:i s:i s:i}",
					      "max_concurrent", 50,
					      "requests_per_min", 600,
					      "tokens_per_min", 100000,
					      "burst_s", burst_s));
	}
	return values;
}

static void cost_settings(struct cost *cost)
{
	struct entry_head head = head_of(cost);
	json_t *values = organisations(10);
	struct bytes entry = { 0 };
	double carried;
	char hash[65];
	int i;

	snprintf(hash, sizeof(hash), "%064x", 1);
	begin(cost);
	entry_seed(&entry, &head, values, "root", hash);
	carried = (double)entry.len;
	json_decref(values);
	apply(cost, &entry);
	end(cost, "organisation of a file", ORGANISATIONS, carried);
	begin(cost);
	carried = 0;
	for (i = 0; i < 1000; i++) {
		json_t *args = json_pack(
			"{s:s s:i}", "path",
			"team/calves/organisation/organisation-7/burst_s",
			"value", 10 + i % 2);

		entry_admin(&entry, &head, "settings-set", args);
		carried += (double)entry.len;
		json_decref(args);
		apply(cost, &entry);
	}
	end(cost, "change of one field", 1000, carried);
}

static void cost_keys(struct cost *cost)
{
	struct entry_head head = head_of(cost);
	struct bytes entry = { 0 };
	double carried = 0;
	char hash[65];
	int i;

	begin(cost);
	for (i = 0; i < KEYS; i++) {
		json_t *args;

		snprintf(hash, sizeof(hash), "%064x", i + 2);
		args = json_pack("{s:o s:s s:o}", "id",
				 json_sprintf("key-%d", i), "hash", hash,
				 "organisation",
				 json_sprintf("organisation-%d",
					      i % ORGANISATIONS));
		entry_admin(&entry, &head, "key-grant", args);
		json_decref(args);
		carried += (double)entry.len;
		apply(cost, &entry);
	}
	end(cost, "key granted", KEYS, carried);
	begin(cost);
	for (i = 0; i < KEYS; i++) {
		snprintf(hash, sizeof(hash), "%064x", i + 2);
		if (!keys_find(agreed_keys(cost->agreed), hash))
			exit(1);
	}
	end(cost, "key looked up", KEYS, 0);
}

static void cost_claims(struct cost *cost, enum claim_verb verb,
			const char *what)
{
	struct entry_head head = head_of(cost);
	struct claim_op *ops = xcalloc(BATCH, sizeof(*ops));
	struct bytes entry = { 0 };
	double carried = 0;
	char key[32];
	int i;

	begin(cost);
	for (i = 0; i < CLAIMS; i++) {
		struct claim_op *op = &ops[i % BATCH];

		op->verb = verb;
		op->sending = true;
		op->body_hash = "00112233445566778899aabbccddeeff";
		op->http_status = 201;
		op->content_type = "application/json";
		op->body = "{\"movement\": 123456789, \"state\": \"lodged\"}";
		op->body_len = verb == CLAIM_VERB_DONE ? strlen(op->body) : 0;
		snprintf(key, sizeof(key), "lodgement-%d", i);
		claim_id(op->id, "organisation-7", "register", key);
		if ((i + 1) % BATCH)
			continue;
		entry_claims(&entry, &head, ops, BATCH);
		carried += (double)entry.len;
		apply(cost, &entry);
	}
	end(cost, what, CLAIMS, carried);
	free(ops);
}

static void cost_snapshot(struct cost *cost)
{
	struct agreed *restored = agreed_new();
	struct bytes snapshot = { 0 };

	begin(cost);
	agreed_snapshot(cost->agreed, &snapshot);
	end(cost, "snapshot of all above", 1, (double)snapshot.len);
	begin(cost);
	if (agreed_restore(restored, snapshot.data, snapshot.len) != RESULT_OK)
		exit(1);
	end(cost, "restore of all above", 1, (double)snapshot.len);
	bytes_clear(&snapshot);
	agreed_free(restored);
}

static void cost_usage(struct cost *cost)
{
	struct usage *usage = usage_new(1, 1);
	struct usage *holder = usage_new(2, 1);
	struct usage_counters one = { 1, 300, 200, 0 };
	struct bytes body = { 0 };
	struct bytes reply = { 0 };
	double carried = 0;
	char name[32];
	int i;

	usage_tick(usage, 3600000000, 3600000000, 1);
	usage_peers(usage, 2, 0);
	begin(cost);
	for (i = 0; i < ROWS; i++) {
		snprintf(name, sizeof(name), "organisation-%d", i);
		usage_count(usage, name, "caption", &one);
	}
	end(cost, "row of usage counted", ROWS, 0);
	begin(cost);
	while (usage_next_message(usage, 2, 1, 16384, &body)) {
		carried += (double)body.len;
		usage_receive(holder, 1, &body, 1, &reply);
		bytes_clear(&body);
		bytes_clear(&reply);
	}
	end(cost, "row of usage sent and merged", ROWS, carried);
	usage_free(usage);
	usage_free(holder);
}

int main(void)
{
	struct cost cost = { .agreed = agreed_new() };

	printf("| what | how many | CPU us each | bytes held each | bytes "
	       "carried each |\n|---|---|---|---|---|\n");
	cost_settings(&cost);
	cost_keys(&cost);
	cost_claims(&cost, CLAIM_VERB_OPEN, "claim opened, 200 an entry");
	cost_claims(&cost, CLAIM_VERB_DONE, "claim answered, 200 an entry");
	cost_snapshot(&cost);
	cost_usage(&cost);
	agreed_free(cost.agreed);
	return 0;
}
