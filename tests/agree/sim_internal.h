#ifndef TESTS_AGREE_SIM_INTERNAL_H
#define TESTS_AGREE_SIM_INTERNAL_H

#include "base/rng.h"
#include "sim.h"

#define SIM_NODES 6
#define SIM_LEARNER 5 /* the node without a disk */
#define SIM_INDICES 4096
#define SIM_TERMS 4096
#define SIM_DRIFT_PPM 100000

enum sim_phase { SIM_ISOLATE_VOTER = 1, SIM_ISOLATE_LEADER, SIM_KILL };

enum sim_event_kind { SIM_TICK, SIM_MESSAGE, SIM_SYNCED, SIM_WAKE };

struct sim_event {
	int64_t at_us;
	uint64_t order;
	enum sim_event_kind kind;
	int node;
	uint64_t boot;
	uint64_t from;
	int64_t ticket;
	struct bytes body;
};

/** The state machine: a chained hash of all entries so far. */
struct sim_state {
	int64_t index;
	uint64_t hash;
};

struct sim_node {
	struct raft *raft; /* NULL while the node is down */
	uint64_t id;
	uint64_t boot;
	uint64_t generation;
	bool gone;     /* permanently lost */
	bool paused;   /* as after SIGSTOP */
	bool disk_bad; /* syncs fail until the next restart */
	int64_t rate_ppm;
	int64_t synced_at_us;
	int64_t order_end_us; /* simulated time at which its last order ends */
	struct raft_persistent_state saved;
	struct list pending; /* writes that aren't durable yet */
	struct sim_state state;
};

struct sim {
	struct sim_options options;
	struct sim_stats *stats;
	struct rng rng;
	int64_t now_us;
	uint64_t order;
	struct sim_event *heap;
	size_t n_heap;
	size_t heap_size;
	struct sim_node nodes[SIM_NODES];
	bool cut[SIM_NODES][SIM_NODES]; /* [from][to] */
	bool faults_stopped;
	int isolated_voter; /* voter without a link to the leader */
	bool cut_next_leader;
	bool links_restored;
	int leader_crashes_left; /*
	 * how many leaders will still crash right after their election
	 */
	int64_t quiet_until_us;
	bool founded;
	uint64_t next_value;
	/* the model: all committed entries */
	int64_t n_known;
	int64_t known_term[SIM_INDICES];
	uint64_t known_entry[SIM_INDICES];
	uint64_t known_state[SIM_INDICES];
	uint64_t leader_of[SIM_TERMS];
	char *violation;
};

/* sim.c */
void sim_violate(struct sim *sim, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
int64_t sim_clock(const struct sim *sim, const struct sim_node *node);
void sim_start(struct sim *sim, int node);
void sim_stop(struct sim *sim, int node);
void sim_wake(struct sim *sim, int node, enum sim_phase phase, int64_t in_us);
void sim_carry_out(struct sim *sim, int node, struct effects *effects);

/* sim_disk.c */
void sim_settle_disk(struct sim_node *node, int64_t ticket);
void sim_lose_unsynced(struct sim *sim, struct sim_node *node);

/* sim_check.c */
void sim_check(struct sim *sim, int node);
void sim_drain(struct sim *sim, int node);

/* sim_fault.c */
void sim_faults(struct sim *sim);
void sim_on_wake(struct sim *sim, int leader, int64_t phase);
void sim_on_elected(struct sim *sim, int leader);
void sim_heal(struct sim *sim);

#endif
