#ifndef FILBERTHALL_LOAD_SHARE_STATE_H
#define FILBERTHALL_LOAD_SHARE_STATE_H

#include "load/share.h"

/** What share.c and share_limit.c have in common. Nobody else includes it. */

/** One member's row in a pool's or an organisation's table. */
struct share_slot {
	bool known;
	bool fresh;		  /* reported since the last round of limits */
	bool told;		  /* its part was worked out in this round */
	double want[SCHED_TIERS]; /* running mean */
	int64_t pressure;
	int64_t slots;
	int64_t grant;
	int64_t concurrent;
	double asked; /* running sum, fading by half a round */
	double part;
};

struct share_pool {
	struct map_node node;
	char name[SHARE_NAME_SIZE];
	struct share_slot *rows; /* by index of the member */
	int64_t pressure;
};

struct share_limit {
	struct map_node node;
	char name[SHARE_NAME_SIZE];
	struct share_slot *rows;
	int64_t limit;
};

struct share {
	struct map pools;
	struct map limits;
	uint64_t *members;
	int64_t *heard_us;
	int n;
	int64_t turn;
};

/** Daemons that are heard, by index, and what the others fall back to. */
struct share_heard_list {
	int *index;
	int64_t *wants;
	int64_t *parts;
	int n;
};

int share_index(const struct share *share, uint64_t member);
bool share_is_silent(const struct share *share, int at, int64_t now_us);
void heard_open(const struct share *share, struct share_heard_list *list,
		int64_t now_us);
void heard_close(struct share_heard_list *list);
void share_limits_round(struct share *share, int64_t now_us);

#endif
