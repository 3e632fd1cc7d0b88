#ifndef FILBERTHALL_LOAD_SHARE_STATE_H
#define FILBERTHALL_LOAD_SHARE_STATE_H

#include "load/share.h"

/** Private declarations shared by share.c and share_limit.c. */

/** One member's row in a pool's or an organisation's table. */
struct share_row {
	bool reported;
	bool fresh;   /* reported since the limits were last divided */
	bool updated; /* its part was computed in this round */
	double demand[SCHED_TIERS]; /* running mean */
	int64_t pressured_tier;
	int64_t slots;
	int64_t grant;
	int64_t concurrent;
	double recent_requests; /* running sum, halved at each report */
	double rate_fraction;
};

struct share_pool {
	struct map_node node;
	char name[SHARE_NAME_SIZE];
	struct share_row *rows; /* by index of the member */
	int64_t pressured_tier;
};

struct share_limit {
	struct map_node node;
	char name[SHARE_NAME_SIZE];
	struct share_row *rows;
	int64_t limit;
};

struct share {
	struct map pools;
	struct map limits;
	uint64_t *members;
	int64_t *last_contact_us;
	int n;
	int64_t round;
};

/** Members whose reports aren't stale, with their demands and parts. */
struct share_live_members {
	int *index;
	int64_t *demands;
	int64_t *parts;
	int n;
};

int share_index(const struct share *share, uint64_t member);
bool share_is_stale(const struct share *share, int at, int64_t now_us);
void live_members_init(const struct share *share,
		       struct share_live_members *list, int64_t now_us);
void live_members_clear(struct share_live_members *list);
void share_allocate_limits(struct share *share, int64_t now_us);

#endif
