#include "usage/wall.h"

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

	vote->ahead_us = wall_us - now_us;
	vote->at_us = now_us;
}

static int compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

int64_t wall_time_us(const struct wall *wall, int64_t now_us)
{
	int64_t ahead[WALL_VOTES];
	int n = 0;
	int i;

	for (i = 0; i < wall->n_votes; i++)
		if (now_us - wall->votes[i].at_us <= WALL_OLD_US)
			ahead[n++] = wall->votes[i].ahead_us;
	if (!n)
		return 0;
	qsort(ahead, (size_t)n, sizeof(*ahead), compare);
	return now_us + ahead[(n - 1) / 2];
}
