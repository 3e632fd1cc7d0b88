#ifndef FILBERTHALL_LOAD_LENGTH_H
#define FILBERTHALL_LOAD_LENGTH_H

#include <stdint.h>

#include "base/map.h"

/**
 * Running estimate of unknown output lengths, by class and model.
 *
 * Load pattern: callers don't say how long an answer will be, and lengths
 * spread over three powers of ten. Without an estimate a fair share counts a
 * caption and a critique as equal, deadlines are judged by guess, and long
 * work fills a server unnoticed.
 *
 * A histogram with four buckets for each doubling knows a quantile far finer
 * than lengths themselves spread. Old counts fade, so that a class whose
 * prompts change is learnt anew within some hundred answers.
 */

#define LENGTH_BUCKETS 84 /**< up to 2^21 tokens */
#define LENGTH_FADE 256
#define LENGTH_UNKNOWN_TOKENS 256

struct length {
	struct map entries;
};

void length_init(struct length *length);
void length_clear(struct length *length);

/** Note an answer that ended by itself after so many tokens. */
void length_note(struct length *length, const char *class_name,
		 const char *model, int64_t tokens);

/**
 * The output length in tokens that a part `quantile` of answers stays below,
 * given that `so_far` tokens have come already; at most `max_tokens` unless
 * that is 0.
 */
int64_t length_quantile(const struct length *length, const char *class_name,
			const char *model, double quantile, int64_t so_far,
			int64_t max_tokens);

/** Mean output length in tokens, at most `max_tokens` unless that is 0. */
int64_t length_mean(const struct length *length, const char *class_name,
		    const char *model, int64_t max_tokens);

#endif
