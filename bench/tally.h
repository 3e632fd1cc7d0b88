#ifndef BENCH_TALLY_H
#define BENCH_TALLY_H

#include <stdint.h>

#include "base/list.h"
#include "bench/answer.h"
#include "bench/histogram.h"
#include "bench/profile.h"

/** What became of the requests of one class. */
struct tally {
	struct list node;
	const struct profile_class *class;
	int64_t sent;
	int64_t open;
	int64_t verdicts[ANSWER_VERDICTS];
	int64_t attained; /**< ok, and within the class's targets */
	int64_t tokens;
	struct list codes;	   /**< struct tally_code */
	struct histogram first_us; /**< from the planned arrival */
	struct histogram whole_us;
	struct histogram gap_us; /**< between two tokens */
};

/** How often a refusal's code came. */
struct tally_code {
	struct list node;
	int64_t code;
	int64_t count;
};

struct tally *tally_new(const struct profile_class *class);

void tally_free(struct tally *tally);

/** Count a refusal's code. */
void tally_add_code(struct tally *tally, int64_t code);

/** Answers that a caller must never get: lost, torn, doubled, crossed. */
int64_t tally_bad(const struct tally *tally);

/** Print a table of all tallies (struct tally on `tallies`). */
void tally_print(const struct list *tallies, const struct profile *profile,
		 double seconds);

/** Print them as one JSON object. */
void tally_print_json(const struct list *tallies, const struct profile *profile,
		      double seconds);

#endif
