#include <glib.h>
#include <string.h>

#include "agree/claim.h"
#include "agree/codec.h"
#include "base/rng.h"

/*
 * The claims of agree/claim against a version that keeps them in one array and
 * looks through all of it each time. Random operations of three members in two
 * lives, expiry, declared deaths, and a save and load in between; after each
 * one every result and every claim must be the same in both.
 */

#define IDS 24
#define MEMBERS 3
#define STEPS 4000
#define KEEP_US 4000
#define MOST_CLAIMS 12
#define MOST_BYTES 40
#define ANSWER_BYTES 20

struct naive_claim {
	bool used;
	char body_hash[8];
	struct claim_owner owner;
	enum claim_state state;
	int64_t changed_us;
	bool kept;
	int kept_at; /* order of keeping */
	size_t body_len;
};

struct naive {
	struct naive_claim claims[IDS];
	uint64_t gone[MEMBERS + 1];
	int kept;
};

static size_t naive_count(const struct naive *naive)
{
	size_t n = 0;
	int i;

	for (i = 0; i < IDS; i++)
		n += naive->claims[i].used;
	return n;
}

static size_t naive_bytes(const struct naive *naive)
{
	size_t bytes = 0;
	int i;

	for (i = 0; i < IDS; i++)
		if (naive->claims[i].used && naive->claims[i].kept)
			bytes += naive->claims[i].body_len;
	return bytes;
}

static enum result naive_probe(const struct naive *naive, int id,
			       const char *body_hash)
{
	const struct naive_claim *claim = &naive->claims[id];

	if (!claim->used)
		return naive_count(naive) >= MOST_CLAIMS ? RESULT_CLAIM_FULL
							 : RESULT_OK;
	if (strcmp(claim->body_hash, body_hash))
		return RESULT_KEY_REUSED;
	if (claim->state == CLAIM_OPEN || claim->state == CLAIM_SENT)
		return RESULT_CLAIM_RUNNING;
	if (claim->state == CLAIM_UNKNOWN)
		return RESULT_CLAIM_UNKNOWN;
	return claim->kept ? RESULT_CLAIM_DONE : RESULT_CLAIM_ANSWER_GONE;
}

static bool naive_is_gone(const struct naive *naive,
			  const struct claim_owner *owner)
{
	return owner->incarnation <= naive->gone[owner->member];
}

static enum result naive_open(struct naive *naive,
			      const struct claim_owner *owner, int id,
			      const struct claim_op *op, int64_t time_us)
{
	struct naive_claim *claim = &naive->claims[id];
	enum result code;

	if (naive_is_gone(naive, owner))
		return RESULT_CONFLICT;
	code = naive_probe(naive, id, op->body_hash);
	if (code)
		return code;
	memset(claim, 0, sizeof(*claim));
	claim->used = true;
	g_strlcpy(claim->body_hash, op->body_hash, sizeof(claim->body_hash));
	claim->owner = *owner;
	claim->state = op->sending ? CLAIM_SENT : CLAIM_OPEN;
	claim->changed_us = time_us;
	return RESULT_OK;
}

/* Drop the answer kept longest until the rest fits. */
static void naive_bound(struct naive *naive)
{
	while (naive_bytes(naive) > MOST_BYTES) {
		struct naive_claim *oldest = NULL;
		int i;

		for (i = 0; i < IDS; i++) {
			struct naive_claim *claim = &naive->claims[i];

			if (claim->used && claim->kept &&
			    (!oldest || claim->kept_at < oldest->kept_at))
				oldest = claim;
		}
		oldest->kept = false;
	}
}

static enum result naive_done(struct naive *naive, struct naive_claim *claim,
			      const struct claim_op *op, int64_t time_us)
{
	if (claim->state == CLAIM_DONE)
		return RESULT_OK;
	claim->state = CLAIM_DONE;
	claim->changed_us = time_us;
	if (op->body_len <= ANSWER_BYTES) {
		claim->kept = true;
		claim->kept_at = naive->kept++;
		claim->body_len = op->body_len;
	}
	naive_bound(naive);
	return RESULT_OK;
}

static enum result naive_apply(struct naive *naive,
			       const struct claim_owner *owner, int id,
			       const struct claim_op *op, int64_t time_us)
{
	struct naive_claim *claim = &naive->claims[id];

	if (op->verb == CLAIM_VERB_OPEN)
		return naive_open(naive, owner, id, op, time_us);
	if (!claim->used)
		return RESULT_NOT_FOUND;
	if (claim->owner.member != owner->member ||
	    claim->owner.incarnation != owner->incarnation)
		return RESULT_CONFLICT;
	if (op->verb == CLAIM_VERB_DONE)
		return naive_done(naive, claim, op, time_us);
	if (naive_is_gone(naive, owner) || claim->state == CLAIM_DONE ||
	    claim->state == CLAIM_UNKNOWN)
		return RESULT_CONFLICT;
	claim->used = op->verb != CLAIM_VERB_RELEASE;
	claim->state = op->verb == CLAIM_VERB_SENT ? CLAIM_SENT : CLAIM_UNKNOWN;
	claim->changed_us = time_us;
	return RESULT_OK;
}

static void naive_owner_gone(struct naive *naive,
			     const struct claim_owner *owner, int64_t time_us)
{
	int i;

	if (naive_is_gone(naive, owner))
		return;
	naive->gone[owner->member] = owner->incarnation;
	for (i = 0; i < IDS; i++) {
		struct naive_claim *claim = &naive->claims[i];

		if (!claim->used || claim->owner.member != owner->member ||
		    claim->owner.incarnation > owner->incarnation)
			continue;
		if (claim->state == CLAIM_OPEN) {
			claim->used = false;
		} else if (claim->state == CLAIM_SENT) {
			claim->state = CLAIM_UNKNOWN;
			claim->changed_us = time_us;
		}
	}
}

static void naive_expire(struct naive *naive, int64_t time_us)
{
	int i;

	for (i = 0; i < IDS; i++)
		if (naive->claims[i].changed_us + KEEP_US <= time_us)
			naive->claims[i].used = false;
}

static void test_id(char id[CLAIM_ID_SIZE], int number)
{
	char key[16];

	g_snprintf(key, sizeof(key), "key-%d", number);
	claim_id(id, "yards", "register", key);
}

static void test_ignore(void *data, const char *id)
{
	(void)data;
	(void)id;
}

static void test_compare(const struct claims *claims, const struct naive *naive)
{
	char id[CLAIM_ID_SIZE];
	int i;

	g_assert_cmpuint(claims_count(claims), ==, naive_count(naive));
	g_assert_cmpuint(claims_answer_bytes(claims), ==, naive_bytes(naive));
	for (i = 0; i < IDS; i++) {
		const struct naive_claim *expected = &naive->claims[i];
		const struct claim *claim;

		test_id(id, i);
		claim = claims_find(claims, id);
		g_assert_cmpint(!claim, ==, !expected->used);
		g_assert_cmpint(claims_check_open(claims, id, "b1"), ==,
				naive_probe(naive, i, "b1"));
		if (!claim)
			continue;
		g_assert_cmpint(claim->state, ==, expected->state);
		g_assert_cmpint(claim->has_answer, ==, expected->kept);
		g_assert_cmpint(claim->changed_us, ==, expected->changed_us);
	}
}

static struct claims *test_save_and_load(struct claims *claims,
					 const struct claim_limits *limits)
{
	json_t *saved = claims_save(claims);
	struct claims *loaded = claims_new();
	struct bytes chunks = { 0 };
	size_t at = 0;

	claims_save_chunks(claims, &chunks);
	claims_set_limits(loaded, limits);
	g_assert_cmpint(claims_load(loaded, saved), ==, RESULT_OK);
	json_decref(saved);
	while (at < chunks.len) {
		json_t *chunk = codec_decode_next(chunks.data, chunks.len, &at);

		g_assert_cmpint(claims_load_chunk(loaded, chunk), ==,
				RESULT_OK);
		json_decref(chunk);
	}
	bytes_clear(&chunks);
	claims_free(claims);
	return loaded;
}

static void test_operate(struct claims *claims, struct naive *naive,
			 struct rng *rng, int64_t time_us)
{
	static const char *const bodies[] = { "b1", "b2" };
	struct claim_owner owner = { 1 + rng_below(rng, MEMBERS),
				     1 + rng_below(rng, 4) };
	int number = (int)rng_below(rng, IDS);
	struct claim_op op = { 0 };

	if (!rng_below(rng, 40)) {
		owner.incarnation = 1 + rng_below(rng, 3);
		claims_owner_gone(claims, &owner, time_us, test_ignore, NULL);
		naive_owner_gone(naive, &owner, time_us);
		return;
	}
	/* Mostly the owner itself, or hardly any claim would ever end. */
	if (naive->claims[number].used && rng_below(rng, 4))
		owner = naive->claims[number].owner;
	test_id(op.id, number);
	op.verb = rng_below(rng, 2) ? CLAIM_VERB_OPEN
				    : (enum claim_verb)rng_below(rng, 5);
	op.body_hash = bodies[!rng_below(rng, 8)];
	op.sending = rng_below(rng, 2);
	op.body = "an answer of thirty bytes, now";
	op.body_len = rng_below(rng, 31);
	op.content_type = "text/plain";
	op.http_status = 200;
	g_assert_cmpint(claims_apply(claims, &owner, &op, time_us), ==,
			naive_apply(naive, &owner, number, &op, time_us));
}

static void claims_agree_with_a_naive_version(void)
{
	struct claim_limits limits = { KEEP_US, MOST_CLAIMS, MOST_BYTES,
				       ANSWER_BYTES };
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct rng rng = { seed };
		struct naive naive = { 0 };
		struct claims *claims = claims_new();
		int64_t time_us = 1;
		int step;

		claims_set_limits(claims, &limits);
		for (step = 0; step < STEPS; step++) {
			time_us += (int64_t)rng_below(&rng, 60);
			claims_expire(claims, time_us);
			naive_expire(&naive, time_us);
			test_operate(claims, &naive, &rng, time_us);
			if (!rng_below(&rng, 200))
				claims = test_save_and_load(claims, &limits);
			test_compare(claims, &naive);
		}
		claims_free(claims);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/naive", claims_agree_with_a_naive_version);
	return g_test_run();
}
