#ifndef BENCH_SIM_STATE_H
#define BENCH_SIM_STATE_H

#include "base/rng.h"
#include "bench/engine.h"
#include "fleet/backend.h"
#include "load/router.h"
#include "bench/plain.h"
#include "bench/sim.h"

/** What the files sim*.c share. Times are microseconds from SIM_START_US. */

#define SIM_START_US INT64_C(1000000)

/** One way between a router and an engine, or between two routers. */
#define SIM_LINK_US INT64_C(1000)

#define SIM_ANNOUNCE_US INT64_C(1000000)
#define SIM_PROGRESS_US INT64_C(250000)
#define SIM_SNAPSHOTS 32

/** Cache events come so late. */
#define SIM_CACHE_US INT64_C(500000)

/** An engine that crashed by poison is started anew after so long. */
#define SIM_RESTART_US INT64_C(15000000)

enum sim_kind {
	SIM_ARRIVAL,	   /* a: traffic */
	SIM_PATIENCE,	   /* id: request */
	SIM_RESEND,	   /* id: request that is sent again */
	SIM_ENGINE_ARRIVE, /* attempt */
	SIM_ENGINE_CANCEL, /* attempt */
	SIM_ENGINE_STEP,   /* a: engine, n: generation of its schedule */
	SIM_PROGRESS,	   /* a: engine */
	SIM_SENT,	   /* attempt */
	SIM_TOKENS,	   /* attempt, n: tokens */
	SIM_ENDED,	   /* attempt, n: tokens, code */
	SIM_TIMEOUT,	   /* attempt, n: 0 first byte, 1 idle */
	SIM_ANNOUNCE,	   /* a: engine */
	SIM_ANNOUNCED,	   /* a: router, announce */
	SIM_CACHED,	   /* a: router, n: engine, id: prefix */
	SIM_TICK,	   /* a: router */
	SIM_MESSAGE,	   /* a: router, id: peer, body */
	SIM_FAULT,	   /* a: fault */
	SIM_FAULT_END,	   /* a: fault */
	SIM_RESTART,	   /* a: engine */
	SIM_INTERVAL
};

struct sim_event {
	struct heap_node node;
	int64_t at_us;
	uint64_t sequence;
	enum sim_kind kind;
	int a;
	int64_t n;
	uint64_t id;
	enum result code;
	struct sim_attempt *attempt;
	struct event_announce *announce;
	struct bytes body;
};

struct sim_attempt {
	struct engine_job job;
	struct list in_engine;
	struct sim_request *request;
	int64_t number;
	int64_t resume;
	int64_t idle_us;
	int engine;
	bool received; /* its bytes reached the engine */
	bool told_first;
	bool over;		  /* nothing more comes of it */
	struct sim_attempt *next; /* of the same request */
};

struct sim_request {
	uint64_t id;
	int traffic;
	int class_index;
	int organisation_index;
	int router;
	int64_t arrived_us;
	int64_t prompt_tokens;
	int64_t output_tokens;
	uint64_t prefix;
	char body_hash[24];
	bool poison;
	bool answered;
	bool not_run; /* what the answer said */
	bool started;
	int n_received;
	int64_t first_us;
	int64_t delivered;
	int64_t ended_us;
	enum result code;
	struct sim_attempt *attempts;
};

struct sim_snapshot {
	int64_t running;
	int64_t queued;
	int64_t queued_prompt;
	int64_t kv_used;
};

struct sim_engine {
	struct engine model;
	const struct scenario_servers *from;
	char address[BACKEND_NAME_SIZE];
	int boots;
	int64_t sequence;
	bool silent;
	bool leaving;
	int64_t generation; /* of the scheduled step */
	bool progressing;   /* a progress event is due */
	struct list attempts;
	struct sim_snapshot snapshots[SIM_SNAPSHOTS];
	int64_t n_snapshots;
};

struct sim_router {
	struct fleet fleet;
	struct router *real;
	struct plain *plain;
	bool cut;
	int64_t expired_us;
};

struct sim_traffic {
	struct rng rng;
	uint64_t prefix_base;
};

struct sim {
	const struct scenario *scenario;
	const struct policy *policy;
	struct measure *measure;
	struct heap events;
	uint64_t sequence;
	int64_t now_us;
	int64_t end_us;
	struct rng rng;
	struct sim_engine *engines;
	int n_engines;
	struct sim_router *routers;
	int n_routers;
	struct sim_traffic *traffic;
	struct sim_request **requests;
	size_t n_requests;
	size_t request_capacity;
	int64_t open; /* requests not yet answered */
};

/* sim.c */
struct sim_event *sim_at(struct sim *sim, int64_t at_us, enum sim_kind kind);
struct sim_request *sim_request(const struct sim *sim, uint64_t id);

/* sim_caller.c */
void sim_arrival(struct sim *sim, int traffic);
void sim_next_arrival(struct sim *sim, int traffic);
void sim_patience(struct sim *sim, uint64_t id);
void sim_resend(struct sim *sim, uint64_t id);
void sim_answer(struct sim *sim, const struct effect_answer *answer);
void sim_account(struct sim *sim);

/* sim_router.c */
void sim_routers_open(struct sim *sim, uint64_t seed);
void sim_routers_close(struct sim *sim);
void sim_submit(struct sim *sim, struct sim_request *request);
void sim_caller_left(struct sim *sim, struct sim_request *request);
void sim_sent(struct sim *sim, struct sim_attempt *attempt);
void sim_tokens(struct sim *sim, struct sim_attempt *attempt, int64_t tokens);
void sim_ended(struct sim *sim, struct sim_attempt *attempt, int64_t tokens,
	       enum result code);
void sim_announced(struct sim *sim, int router,
		   const struct event_announce *announce);
void sim_cached(struct sim *sim, int router, int engine, uint64_t prefix);
void sim_message(struct sim *sim, int router, uint64_t peer,
		 const struct bytes *body);
void sim_tick(struct sim *sim, int router);

/* sim_engine.c */
void sim_engines_open(struct sim *sim);
void sim_engines_close(struct sim *sim);
void sim_start(struct sim *sim, const struct effect_start_attempt *start);
void sim_cancel(struct sim *sim, const struct effect_cancel_attempt *cancel);
void sim_engine_arrive(struct sim *sim, struct sim_attempt *attempt);
void sim_engine_cancel(struct sim *sim, struct sim_attempt *attempt);
void sim_engine_step(struct sim *sim, int engine, int64_t generation);
void sim_progress(struct sim *sim, int engine);
void sim_timeout(struct sim *sim, struct sim_attempt *attempt, bool idle);
void sim_announce(struct sim *sim, int engine);
void sim_engine_crash(struct sim *sim, int engine);
void sim_engine_boot(struct sim *sim, int engine);

/* sim_fault.c */
void sim_fault(struct sim *sim, int fault);
void sim_fault_end(struct sim *sim, int fault);

#endif
