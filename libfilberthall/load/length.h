#ifndef FILBERTHALL_LOAD_LENGTH_H
#define FILBERTHALL_LOAD_LENGTH_H

#include <stdint.h>

#include "base/map.h"

/**
 * Running estimate of output lengths by class and model.
 *
 * Load pattern: callers don't state how long an answer will be, and lengths
 * range over three orders of magnitude. Without an estimate, fair sharing
 * counts a caption and a critique as equal, deadlines can't be checked in
 * advance, and long requests fill a server unnoticed.
 *
 * The histogram has four buckets per doubling, which is far finer than the
 * spread of the lengths. Old counts decay, so that the estimate follows a class
 * whose prompts change within a few hundred answers.
 */

#define LENGTH_BUCKETS 84 /**< up to 2^21 tokens */
#define LENGTH_HALVING_ANSWERS \
	256 /**< counts are halved after so many answers */
#define LENGTH_UNKNOWN_TOKENS 256 /**< estimate without any data */

struct length {
	struct map entries;
};

void length_init(struct length *length);
void length_clear(struct length *length);

/** Records the length of an answer that ended without being cut off. */
void length_record(struct length *length, const char *class_name,
		   const char *model, int64_t tokens);

/**
 * Returns the given quantile (0 to 1) of the output length in tokens, among
 * answers with at least `so_far` tokens; at most `max_tokens` unless that is 0.
 */
int64_t length_quantile(const struct length *length, const char *class_name,
			const char *model, double quantile, int64_t so_far,
			int64_t max_tokens);

/**
 * Returns the mean output length in tokens, at most `max_tokens` unless that
 * is 0.
 */
int64_t length_mean(const struct length *length, const char *class_name,
		    const char *model, int64_t max_tokens);

#endif
