#include "usage/wall.h"

#include <stdbool.h>
#include <stdlib.h>

static struct wall_vote *vote_of(struct wall *wall, uint64_t voter)
{
	int oldest = 0;
	int i;

	for (i = 0; i < wall->n_votes; i++) {
		if (wall->votes[i].voter == voter)
			return &wall->votes[i];
		if (wall->votes[i].at_us < wall->votes[oldest].at_us)
			oldest = i;
	}
	if (wall->n_votes < WALL_VOTES)
		oldest = wall->n_votes++;
	wall->votes[oldest].voter = voter;
	return &wall->votes[oldest];
}

void wall_note(struct wall *wall, uint64_t voter, int64_t wall_us,
	       int64_t now_us)
{
	struct wall_vote *vote = vote_of(wall, voter);

	vote->offset_us = wall_us - now_us;
	vote->at_us = now_us;
}

static int compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

/* The median of the recent votes, 0 if there are fewer than `least`. */
static int64_t median_us(const struct wall *wall, bool with_own, int least,
			 int64_t now_us)
{
	int64_t ahead[WALL_VOTES];
	int n = 0;
	int i;

	for (i = 0; i < wall->n_votes; i++)
		if (now_us - wall->votes[i].at_us <= WALL_OLD_US &&
		    (with_own || wall->votes[i].voter))
			ahead[n++] = wall->votes[i].offset_us;
	if (n < least)
		return 0;
	qsort(ahead, (size_t)n, sizeof(*ahead), compare);
	return now_us + ahead[(n - 1) / 2];
}

int64_t wall_time_us(const struct wall *wall, int64_t now_us)
{
	return median_us(wall, true, 1, now_us);
}

int64_t wall_others_us(const struct wall *wall, int64_t now_us)
{
	return median_us(wall, false, WALL_OTHERS_LEAST, now_us);
}
