/*
 * Servers that run out of memory: they preempt the newest of the least urgent
 * requests, by the urgency that they were told, and begin it again later.
 */
#include <string.h>

#include "entries_state.h"

/* Steps of urgency that the platform passes on. */
#define URGENCY_LAST 9

static int kind_of(const char *path)
{
	return !strcmp(path, ENTRIES_MEMBER_LARGE)    ? 2
	       : !strcmp(path, ENTRIES_MEMBER_MIDDLE) ? 1
						      : 0;
}

void entries_size(const struct entries *entries, struct run *run)
{
	const struct entries_asked *asked =
		entries_find_asked(entries, run->id);
	struct entry_call call;

	if (entry_find_call(entries->vms[run->vm].entry, run->id, &call))
		run->urgency = MIN(call.urgency, URGENCY_LAST);
	if (!asked)
		return;
	run->prompt_tokens = asked->ask.prompt_tokens;
	run->output_tokens = asked->ask.output_tokens;
	run->kind = kind_of(asked->ask.path);
}

static bool runs_at(const struct run *run, int server)
{
	return run->server == server && run->work_us && !run->waits &&
	       !run->code && !run->cancelled;
}

/* The prompt, and what has been generated so far. */
static int64_t memory_of(const struct run *run, int64_t now_us)
{
	return run->prompt_tokens +
	       run->output_tokens * (now_us - run->began_us) / run->work_us;
}

static struct run *choose(const struct entries *entries, int server,
			  int64_t *used)
{
	int64_t now_us = group_now(entries->group);
	struct run *victim = NULL;
	guint i;

	*used = 0;
	for (i = 0; i < entries->runs->len; i++) {
		struct run *run = &g_array_index(entries->runs, struct run, i);

		if (!runs_at(run, server))
			continue;
		*used += memory_of(run, now_us);
		if (!victim || run->urgency > victim->urgency ||
		    (run->urgency == victim->urgency &&
		     run->began_us >= victim->began_us))
			victim = run;
	}
	return victim;
}

static bool has_less_urgent(const struct entries *entries,
			    const struct run *victim)
{
	guint i;

	for (i = 0; i < entries->runs->len; i++) {
		const struct run *run =
			&g_array_index(entries->runs, struct run, i);

		if (runs_at(run, victim->server) && run->kind > victim->kind)
			return true;
	}
	return false;
}

static void preempt(struct entries *entries, struct run *victim)
{
	struct entries_server *server = &entries->servers[victim->server];

	server->preempted++;
	server->inverted += has_less_urgent(entries, victim);
	server->running--;
	server->waiting++;
	victim->waits = true;
	victim->ends_us = INT64_MAX;
}

void entries_preempt(struct entries *entries)
{
	struct run *victim;
	int64_t used;
	int server;

	for (server = 0; server < entries->n_servers; server++) {
		if (!entries->servers[server].memory)
			continue;
		entries_fill_slots(entries, server);
		victim = choose(entries, server, &used);
		while (victim && used > entries->servers[server].memory) {
			preempt(entries, victim);
			victim = choose(entries, server, &used);
		}
	}
}
