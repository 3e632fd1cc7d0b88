#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/disk/wal.h"

/**
 * What a commit costs on this machine's disk: commits a second and latency
 * with 1, 3 and 5 voters in one process, each with its own log on real files,
 * against the disk's own rate of syncs in the same run. Messages are handed
 * over in memory, so the figures are those of the core and the disk, not of
 * a network.
 */
#define MAX_VOTERS 5
#define MAX_OPEN 1024
#define ENTRY_BYTES 200
#define RUN_US 2000000
#define TICK_US 20000
#define MAX_SAMPLES 2000000

struct voter;

struct told {
	struct list node;
	struct voter *voter;
	int64_t ticket;
};

struct group {
	const char *folder;
	int n;
	int open; /* proposals under way */
	struct voter *voters[MAX_VOTERS];
	struct effects sends[MAX_VOTERS];
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	struct list told;
	int64_t proposed_us[MAX_OPEN];
	int64_t *samples;
	size_t n_samples;
	int64_t in_flight;
};

struct voter {
	struct group *group;
	int at;
	struct raft *raft;
	struct wal *wal;
	char *folder;
};

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

static void on_synced(void *data, int64_t ticket)
{
	struct voter *voter = data;
	struct told *told = xcalloc(1, sizeof(*told));

	told->voter = voter;
	told->ticket = ticket;
	pthread_mutex_lock(&voter->group->mutex);
	list_append(&voter->group->told, &told->node);
	pthread_cond_signal(&voter->group->changed);
	pthread_mutex_unlock(&voter->group->mutex);
}

static void on_failed(void *data, enum result code, const char *message)
{
	fprintf(stderr, "disk: %s\n", message);
	abort();
}

static void on_error(void *data, enum result code, const char *message)
{
	fprintf(stderr, "%s\n", message);
}

static const struct error_handler errors = { on_error, NULL };

static void remove_folder(const char *folder)
{
	cleanup(free_ptr) char *command = NULL;
	static const char *const names[] = { "lock", "identity" };
	size_t i;

	for (i = 0; i < 2; i++) {
		cleanup(free_ptr) char *path =
			xstrfmt("%s/%s", folder, names[i]);

		unlink(path);
	}
	for (i = 1; i < 64; i++) {
		cleanup(free_ptr) char *path =
			xstrfmt("%s/log-%020zu", folder, i);

		unlink(path);
	}
	rmdir(folder);
}

static void carry_out(struct voter *voter, struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects))) {
		switch (effect->kind) {
		case EFFECT_SEND:
			list_append(&voter->group->sends[voter->at].head,
				    &effect->node);
			break;
		case EFFECT_LOG_APPEND:
		case EFFECT_LOG_TRUNCATE:
		case EFFECT_HARD_STATE:
		case EFFECT_SNAPSHOT:
		case EFFECT_LOG_SYNC:
			wal_put(voter->wal, effect);
			break;
		default:
			effect_free(effect);
		}
	}
}

static struct voter *group_find(struct group *group, uint64_t id)
{
	int i;

	for (i = 0; i < group->n; i++)
		if (raft_self(group->voters[i]->raft) == id)
			return group->voters[i];
	return NULL;
}

/* Hand over all messages there are; true if there was any. */
static bool group_deliver(struct group *group)
{
	struct effect *effect;
	bool any = false;
	int i;

	for (i = 0; i < group->n; i++)
		while ((effect = effects_take(&group->sends[i]))) {
			struct voter *to =
				group_find(group, effect->u.send.peer);
			struct effects effects;

			any = true;
			effects_init(&effects);
			if (to)
				raft_message(to->raft,
					     raft_self(group->voters[i]->raft),
					     effect->u.send.body.data,
					     effect->u.send.body.len, now_us(),
					     &effects);
			if (to)
				carry_out(to, &effects);
			effect_free(effect);
		}
	return any;
}

static void group_take_synced(struct group *group)
{
	struct told *told;

	for (;;) {
		struct effects effects;

		pthread_mutex_lock(&group->mutex);
		told = list_first(&group->told, struct told, node);
		if (told)
			list_remove(&told->node);
		pthread_mutex_unlock(&group->mutex);
		if (!told)
			return;
		effects_init(&effects);
		raft_synced(told->voter->raft, told->ticket, now_us(),
			    &effects);
		carry_out(told->voter, &effects);
		free(told);
	}
}

static void group_wait(struct group *group)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_nsec -= 1000000000;
		until.tv_sec++;
	}
	pthread_mutex_lock(&group->mutex);
	if (list_empty(&group->told))
		pthread_cond_timedwait(&group->changed, &group->mutex, &until);
	pthread_mutex_unlock(&group->mutex);
}

static void group_drain(struct group *group)
{
	struct raft_committed entry;
	int i;

	for (i = 0; i < group->n; i++)
		while (raft_next_committed(group->voters[i]->raft, &entry)) {
			int64_t *proposed;

			if (!raft_is_leader(group->voters[i]->raft) ||
			    entry.kind != RAFT_COMMITTED_COMMAND)
				continue;
			proposed = &group->proposed_us[entry.index % MAX_OPEN];
			if (group->n_samples < MAX_SAMPLES)
				group->samples[group->n_samples++] =
					now_us() - *proposed;
			group->in_flight--;
		}
}

static struct voter *group_leader(struct group *group)
{
	int i;

	for (i = 0; i < group->n; i++)
		if (raft_is_leader(group->voters[i]->raft))
			return group->voters[i];
	return NULL;
}

static void group_propose(struct group *group)
{
	struct voter *leader = group_leader(group);
	static const char body[ENTRY_BYTES];

	while (leader && group->in_flight < group->open) {
		struct effects effects;
		int64_t index;
		int64_t term;

		effects_init(&effects);
		if (raft_propose(leader->raft, body, sizeof(body), now_us(),
				 &effects, &index, &term) != RESULT_OK)
			return;
		group->proposed_us[index % MAX_OPEN] = now_us();
		group->in_flight++;
		carry_out(leader, &effects);
	}
}

static void group_tick(struct group *group)
{
	int i;

	for (i = 0; i < group->n; i++) {
		struct effects effects;

		effects_init(&effects);
		raft_tick(group->voters[i]->raft, now_us(), &effects);
		carry_out(group->voters[i], &effects);
	}
}

static void group_run(struct group *group, int64_t for_us, bool proposing)
{
	int64_t until_us = now_us() + for_us;
	int64_t tick_us = 0;

	while (now_us() < until_us) {
		if (now_us() >= tick_us) {
			group_tick(group);
			tick_us = now_us() + TICK_US;
		}
		group_take_synced(group);
		group_drain(group);
		if (proposing)
			group_propose(group);
		if (!group_deliver(group))
			group_wait(group);
	}
}

static struct voter *voter_new(struct group *group, int at)
{
	struct voter *voter = xcalloc(1, sizeof(*voter));
	struct wal_options options = wal_default_options();
	struct raft_options raft = raft_default_options();
	struct raft_persistent_state saved;
	struct effects effects;

	voter->group = group;
	voter->at = at;
	voter->folder = xstrfmt("%s/voter-%d", group->folder, at);
	options.folder = voter->folder;
	options.synced = on_synced;
	options.failed = on_failed;
	options.errors = &errors;
	options.data = voter;
	if (wal_open(&options, &saved, &voter->wal) != RESULT_OK ||
	    wal_start(voter->wal) != RESULT_OK)
		exit(EXIT_FAILURE);
	raft.self.id = wal_member_id(voter->wal);
	raft.self.incarnation = 1;
	raft.self.disk = true;
	raft.snapshot_bytes = INT64_MAX;
	raft.policy.voters = group->n;
	snprintf(raft.self.vm, MEMBER_TEXT_SIZE, "vm-%d", at);
	raft.seed = (uint64_t)at + 1;
	voter->raft = raft_new(&raft, now_us());
	effects_init(&effects);
	if (at == 0)
		raft_bootstrap(voter->raft, now_us(), &effects);
	carry_out(voter, &effects);
	return voter;
}

static void group_link(struct group *group)
{
	int i;
	int j;

	for (i = 0; i < group->n; i++)
		for (j = 0; j < group->n; j++) {
			struct effects effects;

			if (i == j)
				continue;
			effects_init(&effects);
			raft_peer_up(group->voters[i]->raft,
				     raft_self(group->voters[j]->raft),
				     now_us(), &effects);
			carry_out(group->voters[i], &effects);
		}
}

static void group_clear(struct group *group)
{
	struct told *told;
	int i;

	for (i = 0; i < group->n; i++) {
		wal_close(group->voters[i]->wal);
		raft_free(group->voters[i]->raft);
		remove_folder(group->voters[i]->folder);
		free(group->voters[i]->folder);
		free(group->voters[i]);
		effects_clear(&group->sends[i]);
	}
	while ((told = list_first(&group->told, struct told, node))) {
		list_remove(&told->node);
		free(told);
	}
	free(group->samples);
}

static int compare_up(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? -1 : left > right;
}

static void measure_commits(const char *folder, int voters, int open)
{
	struct group group = { .folder = folder, .n = voters, .open = open };
	int64_t syncs;
	size_t median;
	size_t high;
	int i;

	pthread_mutex_init(&group.mutex, NULL);
	pthread_cond_init(&group.changed, NULL);
	list_init(&group.told);
	group.samples = xcalloc(MAX_SAMPLES, sizeof(*group.samples));
	for (i = 0; i < voters; i++)
		effects_init(&group.sends[i]);
	for (i = 0; i < voters; i++)
		group.voters[i] = voter_new(&group, i);
	group_link(&group);
	while (!group_leader(&group) ||
	       members_voters(raft_members(group_leader(&group)->raft)) <
		       voters)
		group_run(&group, 100000, false);
	syncs = wal_syncs(group_leader(&group)->wal);
	group_run(&group, RUN_US, true);
	syncs = wal_syncs(group_leader(&group)->wal) - syncs;
	qsort(group.samples, group.n_samples, sizeof(int64_t), compare_up);
	median = group.n_samples / 2;
	high = group.n_samples * 99 / 100;
	printf("| %d | %d | %.0f | %.2f | %.2f | %.0f | %.1f |\n", voters, open,
	       (double)group.n_samples * 1e6 / RUN_US,
	       (double)group.samples[median] / 1e3,
	       (double)group.samples[high] / 1e3, (double)syncs * 1e6 / RUN_US,
	       (double)group.n_samples / (double)(syncs ? syncs : 1));
	fflush(stdout);
	group_clear(&group);
}

static void measure_disk(const char *folder)
{
	cleanup(free_ptr) char *path = xstrfmt("%s/disk", folder);
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	static const char body[ENTRY_BYTES];
	int64_t until_us = now_us() + RUN_US;
	int n = 0;

	while (fd >= 0 && now_us() < until_us) {
		if (write(fd, body, sizeof(body)) < 0 || fdatasync(fd))
			break;
		n++;
	}
	if (fd >= 0)
		close(fd);
	unlink(path);
	printf("disk alone: %.0f syncs/s of %d bytes\n\n", n * 1e6 / RUN_US,
	       ENTRY_BYTES);
}

int main(int argc, char **argv)
{
	static const int voters[] = { 1, 3, 5 };
	static const int open[] = { 1, 32, 512 };
	char *folder;
	size_t i;
	size_t j;

	folder = xstrfmt("%s/commit-cost-XXXXXX", argc > 1 ? argv[1] : ".");
	if (!mkdtemp(folder)) {
		perror(folder);
		return EXIT_FAILURE;
	}
	measure_disk(folder);
	printf("| voters | open proposals | commits/s | p50 ms | p99 ms | "
	       "syncs/s | commits a sync |\n|---|---|---|---|---|---|---|\n");
	for (i = 0; i < 3; i++)
		for (j = 0; j < 3; j++)
			measure_commits(folder, voters[i], open[j]);
	rmdir(folder);
	free(folder);
	return EXIT_SUCCESS;
}
