#ifndef BENCH_ANSWER_H
#define BENCH_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"

/**
 * Judges an answer as it comes, against what a fake engine or service gives
 * for the request's body: the caller must get the whole answer to its own
 * request, once.
 */
enum answer_verdict {
	ANSWER_OK,
	ANSWER_REFUSED, /**< an error answer, or an error event in a stream */
	ANSWER_LOST,	/**< no answer came */
	ANSWER_TORN,	/**< it ends early or has a gap, and doesn't say so */
	ANSWER_DOUBLED, /**< a part, or the run, came twice */
	ANSWER_CROSSED, /**< it is another request's */
	ANSWER_VERDICTS
};

enum answer_kind {
	ANSWER_STREAM, /**< server-sent events of a chat completion */
	ANSWER_WHOLE,  /**< JSON of a chat completion */
	ANSWER_SERVICE /**< JSON of a fake service */
};

struct answer {
	enum answer_kind kind;
	uint64_t hash;	/**< of the request's body */
	int64_t length; /**< tokens to be had */
	int64_t tokens; /**< tokens had */
	int64_t code;	/**< number in an error answer, 0 if none */
	enum answer_verdict verdict;
	bool ended;	   /**< [DONE] came */
	struct bytes rest; /**< not yet read */
};

/** Start on the answer to a request with that body. */
void answer_init(struct answer *answer, enum answer_kind kind, const char *body,
		 size_t len, int64_t max_tokens);

/**
 * Take a piece of the body. Returns how many tokens came with it (0 for what
 * isn't a stream).
 */
int64_t answer_take(struct answer *answer, int status, const char *piece,
		    size_t len);

/** The answer is over; `whole` if HTTP says that all of it came. */
enum answer_verdict answer_end(struct answer *answer, int status, bool whole);

void answer_clear(struct answer *answer);

/** Name of a verdict. */
const char *answer_verdict_name(enum answer_verdict verdict);

#endif
