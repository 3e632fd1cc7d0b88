#include "fleet/reach.h"

/* Failures further apart have nothing to do with each other. */
#define RECENT_US INT64_C(3000000)

/* For so long a connection that stood leaves no doubt. */
#define CERTAIN_US INT64_C(500000)

const char *reach_name(enum reach_state state)
{
	static const char *const names[] = { "good", "doubted", "lost" };

	return names[state];
}

static bool set_state(struct reach *reach, enum reach_state state,
		      int64_t now_us)
{
	if (reach->state == state)
		return false;
	reach->state = state;
	reach->since_us = now_us;
	return true;
}

bool reach_connected(struct reach *reach, int64_t now_us)
{
	reach->n_failed = 0;
	reach->connected_us = now_us;
	return set_state(reach, REACH_GOOD, now_us);
}

bool reach_has_failed(const struct reach *reach, uint64_t server)
{
	int i;

	for (i = 0; i < reach->n_failed; i++)
		if (reach->failed[i] == server)
			return true;
	return false;
}

bool reach_failed(struct reach *reach, uint64_t server, int servers,
		  int64_t now_us)
{
	int enough = servers < REACH_ENOUGH ? servers : REACH_ENOUGH;

	if (reach->state == REACH_GOOD && now_us - reach->failed_us > RECENT_US)
		reach->n_failed = 0;
	reach->failed_us = now_us;
	if (reach->n_failed < REACH_ENOUGH && !reach_has_failed(reach, server))
		reach->failed[reach->n_failed++] = server;
	if (reach->n_failed >= enough)
		return set_state(reach, REACH_LOST, now_us);
	if (reach->state == REACH_GOOD && reach->n_failed >= REACH_DOUBTS &&
	    now_us - reach->connected_us >= CERTAIN_US)
		return set_state(reach, REACH_DOUBTED, now_us);
	return false;
}
