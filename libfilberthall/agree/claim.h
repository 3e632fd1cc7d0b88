#ifndef FILBERTHALL_AGREE_CLAIM_H
#define FILBERTHALL_AGREE_CLAIM_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/result.h"

/**
 * Claims of requests that may not be repeated. A claim is opened through the
 * log before the request is sent, by the VM that will send it; no other VM
 * ever takes over the sending.
 *
 * Failure answered: a caller gets no answer (its VM crashed, a connection
 * died) and sends again, through any VM; without claims the request would
 * run twice. What a resend meets, by the claim's state:
 *
 *	OPEN	 the log shows that nothing was sent yet; wait or 409
 *	SENT	 it may have been sent; wait or 409
 *	DONE	 it ran; the kept answer, or CLAIM_ANSWER_GONE
 *	UNKNOWN	 its owner is gone and may have sent it; never run again
 *
 * An owner sends only after it saw SENT committed, and within its send-by
 * time by its own monotonic clock. Opening straight into SENT (`sending`)
 * costs one commit; opening into OPEN first costs a second commit later, and
 * in return the death of a waiting owner leaves the request free to run.
 *
 * An owner is a member id and an incarnation, which must grow with each
 * start under the same member id. An entry of an incarnation that the log
 * has declared gone, or that a later one followed, changes nothing but to
 * add the answer of a claim that is its own: so a paused VM that wakes up
 * can't send.
 *
 * Bounds: a mark is kept for `keep_us` of log time and never evicted
 * earlier; when `max_claims` are held a new one is refused (CLAIM_FULL, not
 * run). Kept answers are dropped oldest first beyond `max_bytes`, the mark
 * stays. Log time moves on by CLAIM_TIME_STEP_US an entry at most, so that
 * one VM with a wrong clock can't age all claims away at once.
 */
#define CLAIM_ID_SIZE 33
#define CLAIM_TIME_STEP_US INT64_C(10000000)

struct claims;

enum claim_state { CLAIM_OPEN, CLAIM_SENT, CLAIM_DONE, CLAIM_UNKNOWN };

struct claim_owner {
	uint64_t member;
	uint64_t incarnation;
};

struct claim_limits {
	int64_t keep_us;
	int64_t max_claims;
	int64_t max_bytes;    /**< kept answers in all */
	int64_t answer_bytes; /**< one kept answer */
};

struct claim {
	char id[CLAIM_ID_SIZE];
	const char *body_hash;
	struct claim_owner owner;
	enum claim_state state;
	int64_t changed_us; /**< log time */
	bool kept;	    /**< the answer is here */
	int64_t http_status;
	const char *content_type;
	const char *body;
	size_t body_len;
};

enum claim_verb {
	CLAIM_VERB_OPEN,
	CLAIM_VERB_SENT,    /**< from OPEN: about to send */
	CLAIM_VERB_DONE,    /**< it ran, here is the answer */
	CLAIM_VERB_UNKNOWN, /**< the owner lost the answer */
	CLAIM_VERB_RELEASE  /**< the owner never sent it: forget the claim */
};

/** One operation of a batch. Text is borrowed; unused fields are zero. */
struct claim_op {
	enum claim_verb verb;
	uint64_t ticket; /**< the owner's, such as its request id */
	char id[CLAIM_ID_SIZE];
	const char *body_hash; /**< hex, of OPEN */
	bool sending;	       /**< OPEN goes straight into SENT */
	int64_t http_status;
	const char *content_type;
	const char *body;
	size_t body_len;
};

/** What became of one operation. */
struct claim_outcome {
	uint64_t ticket;
	enum claim_verb verb;
	char id[CLAIM_ID_SIZE];
	/**
	 * RESULT_OK: done as asked. Of OPEN: RESULT_KEY_REUSED,
	 * RESULT_CLAIM_RUNNING, RESULT_CLAIM_UNKNOWN, RESULT_CLAIM_FULL,
	 * RESULT_CLAIM_DONE (claims_find() has the answer),
	 * RESULT_CLAIM_ANSWER_GONE. Of the others: RESULT_CONFLICT if the
	 * claim isn't this owner's any more, RESULT_NOT_FOUND.
	 */
	enum result code;
};

/**
 * The id of a claim: 32 hex digits over organisation, service and
 * Idempotency-Key (or body hash).
 */
void claim_id(char id[CLAIM_ID_SIZE], const char *organisation,
	      const char *service, const char *idempotency_key);

struct claims *claims_new(void);
void claims_free(struct claims *claims);

/** Change the bounds; acts at the next entry. */
void claims_set_limits(struct claims *claims,
		       const struct claim_limits *limits);

/** Bounds before any setting. */
struct claim_limits claims_default_limits(void);

/** The claim with that id, borrowed, or NULL. */
const struct claim *claims_find(const struct claims *claims, const char *id);

/** What an OPEN of this id and body hash would meet now. */
enum result claims_probe(const struct claims *claims, const char *id,
			 const char *body_hash);

/** Carry out one operation at log time `time_us`. */
enum result claims_apply(struct claims *claims, const struct claim_owner *owner,
			 const struct claim_op *op, int64_t time_us);

/**
 * A (member, incarnation) is gone: its OPEN claims are forgotten (nothing
 * was sent), its SENT ones become UNKNOWN. `visit` gets each id.
 */
void claims_owner_gone(struct claims *claims, const struct claim_owner *owner,
		       int64_t time_us,
		       void (*visit)(void *data, const char *id), void *data);

/**
 * The latest incarnation of a member that holds a claim which is OPEN or
 * SENT, 0 if none does.
 */
uint64_t claims_latest_owner(const struct claims *claims, uint64_t member);

/** Forget what is older than the bounds allow. */
void claims_expire(struct claims *claims, int64_t time_us);

size_t claims_count(const struct claims *claims);
size_t claims_answer_bytes(const struct claims *claims);

/**
 * For a snapshot: all but the claims themselves as JSON, and the claims as
 * msgpack arrays of at most CLAIMS_CHUNK, so that neither side ever holds
 * 100,000 of them as a tree of JSON, which would take hundreds of megabytes.
 */
#define CLAIMS_CHUNK 512

json_t *claims_save(const struct claims *claims);
void claims_save_chunks(const struct claims *claims, struct bytes *out);

/** Load what claims_save() gave, then each chunk. */
enum result claims_load(struct claims *claims, const json_t *saved);
enum result claims_load_chunk(struct claims *claims, const json_t *chunk);

#endif
