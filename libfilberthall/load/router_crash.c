/*
 * Crashes of backend servers under requests, which all VMs count together.
 */
#include <math.h>

#include "load/router_state.h"
#include "load/share_message.h"

/* Half-life of the counts of a pool's requests and of those that are held. */
#define HELD_HALF_US 5000000.0

/* Part of a pool's requests from which on a hold is worth a try. */
#define HELD_MUCH 0.25

/** Names parts by service: another one's servers may run them. */
void request_name_parts(struct request *request)
{
	const struct router_request *ask = &request->spec;
	uint64_t *parts = (uint64_t *)ask->parts;
	size_t i;

	for (i = 0; i < ask->n_parts; i++)
		parts[i] =
			part_name(ask->service ? ask->service : "", parts[i]);
}

static void log_crash(const struct request *request,
		      const struct attempt *attempt,
		      const struct poison_crash *crash, bool held,
		      struct effects *effects)
{
	const struct router_request *ask = &request->spec;
	struct bytes parts = { 0 };
	size_t i;

	for (i = 0; i < ask->n_parts; i++)
		bytes_append_format(&parts, "%s%016llx", i ? "," : "",
				    (unsigned long long)ask->parts[i]);
	router_log(request, LOG_INFO, effects,
		   "event=crash fingerprint=%016llx server=%s ran_ms=%lld "
		   "held=%d parts=%s",
		   (unsigned long long)request->fingerprint, attempt->address,
		   (long long)(crash->ran_us / 1000), held,
		   parts.len ? bytes_text(&parts) : "none");
	bytes_clear(&parts);
}

/* Parts go by the clock that the VMs share. */
static int64_t shared_us(const struct router *router, int64_t us)
{
	return us + router->vm.clock_offset_us;
}

static void count_parts(struct router *router, const struct attempt *attempt,
			int64_t own_us)
{
	const struct router_request *ask = &attempt->request->spec;
	int64_t now_us = shared_us(router, own_us);
	struct part_report report = {
		.sound_us = PART_NEVER,
		.crashes = { { attempt->server,
			       shared_us(router, attempt->started_us),
			       now_us } },
		.n = 1,
	};
	size_t i;

	part_count_answer(&router->parts, true, now_us);
	for (i = 0; i < ask->n_parts; i++) {
		report.part = ask->parts[i];
		part_merge(&router->parts, &report, true, now_us);
	}
}

void parts_prove(struct router *router, uint64_t part, int64_t began_us,
		 int64_t now_us)
{
	if (router->vm.clock_known)
		part_is_sound(&router->parts, part, shared_us(router, began_us),
			      shared_us(router, now_us));
}

void attempt_is_sound(struct router *router, struct attempt *attempt,
		      int64_t own_us)
{
	const struct router_request *ask = &attempt->request->spec;
	int64_t now_us = shared_us(router, own_us);
	int64_t at_us =
		shared_us(router, attempt->first_us ? attempt->first_us
						    : attempt->started_us);
	size_t i;

	if (!router->vm.clock_known)
		return;
	if (!attempt->sound)
		part_count_answer(&router->parts, false, now_us);
	attempt->sound = true;
	for (i = 0; i < ask->n_parts; i++)
		part_is_sound(&router->parts, ask->parts[i], at_us, now_us);
}

/* Microseconds until none of the request's parts is held any more. */
static int64_t parts_held_us(struct router *router,
			     const struct request *request, int64_t now_us)
{
	const struct router_request *ask = &request->spec;
	int64_t longest_us = 0;
	size_t i;

	for (i = 0; i < ask->n_parts; i++) {
		int64_t held_us = part_held_us(&router->parts, ask->parts[i],
					       shared_us(router, now_us));

		if (held_us > longest_us)
			longest_us = held_us;
	}
	return longest_us;
}

bool router_merge_part(struct router *router, const struct part_report *report,
		       int64_t now_us)
{
	return router->options.features.poison &&
	       part_merge(&router->parts, report, false,
			  shared_us(router, now_us));
}

bool router_counts_crashes(const struct router *router)
{
	return router->parts.entries.count > 0;
}

void router_server_lives(struct router *router, const char *address,
			 const char *boot_id, int64_t heard_us, int64_t now_us)
{
	if (router->vm.clock_known)
		part_server_lives(&router->parts,
				  backend_start(address, boot_id),
				  shared_us(router, heard_us),
				  shared_us(router, now_us));
}

void router_take_part_news(struct router *router, int64_t now_us,
			   void (*visit)(void *data,
					 const struct part_report *report,
					 bool suspect),
			   void *data)
{
	part_take_news(&router->parts, shared_us(router, now_us), visit, data);
}

void router_visit_parts(const struct router *router, part_visitor *visit,
			void *data)
{
	part_visit(&router->parts, false, visit, data);
}

/**
 * Count a crash against the request, on this VM and all others; true if the
 * request is held now.
 */
bool attempt_crashed(struct router *router, const struct attempt *attempt,
		     int64_t now_us, struct effects *effects)
{
	struct request *request = attempt->request;
	struct poison_crash crash = { attempt->server,
				      now_us - attempt->started_us, now_us };
	struct poison_report report = { request->fingerprint, { crash }, 1 };
	const struct router_hooks *hooks = &router->options.hooks;
	enum poison_verdict verdict;

	if (router->options.features.poison && router->vm.clock_known)
		count_parts(router, attempt, now_us);
	if (!request->fingerprint ||
	    poison_excused(&router->poison, request->fingerprint, crash.server,
			   now_us))
		return false;
	router_share_crash(router, request->fingerprint, crash.server,
			   crash.ran_us, effects);
	if (hooks->crashed)
		hooks->crashed(hooks->data, &report);
	verdict = poison_crashed(&router->poison, request->fingerprint, &crash,
				 now_us);
	log_crash(request, attempt, &crash, verdict == POISON_HELD, effects);
	if (verdict != POISON_HELD)
		return false;
	router_log(request, LOG_WARN, effects,
		   "request held: it was running when a second server crashed");
	return true;
}

/** Milliseconds until a held request may run, rounded up; 0 if it may now. */
int64_t request_held_ms(struct router *router, const struct request *request,
			int64_t now_us)
{
	int64_t held_us =
		poison_held_us(&router->poison, request->fingerprint, now_us);
	int64_t parts_us = request->tries_parts
				   ? 0
				   : parts_held_us(router, request, now_us);

	return ((parts_us > held_us ? parts_us : held_us) + 999) / 1000;
}

void pool_count_held(struct pool *pool, bool held, int64_t now_us)
{
	double left =
		exp2(-(double)(now_us - pool->held_counted_us) / HELD_HALF_US);

	pool->asked = pool->asked * left + 1;
	pool->held = pool->held * left + held;
	pool->held_counted_us = now_us;
}

static bool holds_much(const struct pool *pool)
{
	return pool->held >= HELD_MUCH * pool->asked;
}

bool request_tries_parts(struct router *router, struct request *request,
			 int64_t now_us)
{
	const struct router_request *ask = &request->spec;
	struct part_interval own = { router->vm.begin, router->vm.end };
	int64_t shared_now_us = shared_us(router, now_us);
	size_t i;

	if (!holds_much(request->queue->pool) ||
	    poison_held_us(&router->poison, request->fingerprint, now_us))
		return false;
	for (i = 0; i < ask->n_parts; i++)
		if (part_held_us(&router->parts, ask->parts[i],
				 shared_now_us) &&
		    !part_may_try(&router->parts, ask->parts[i], &own,
				  shared_now_us))
			return false;
	for (i = 0; i < ask->n_parts; i++)
		part_tried(&router->parts, ask->parts[i], shared_now_us);
	request->tries_parts = true;
	return true;
}

bool router_merge_crashes(struct router *router,
			  const struct poison_report *report, int64_t now_us)
{
	return router->options.features.poison &&
	       poison_merge(&router->poison, report, now_us);
}

void router_visit_crashes(const struct router *router, int64_t now_us,
			  void (*visit)(void *data,
					const struct poison_report *report),
			  void *data)
{
	poison_visit(&router->poison, 1, now_us, visit, data);
}

struct crash_audience {
	uint64_t peer;
	int64_t now_us;
	struct effects *effects;
};

static void tell_peer(void *data, const struct poison_report *report)
{
	const struct crash_audience *audience = data;
	int i;

	for (i = 0; i < report->n; i++) {
		const struct poison_crash *crash = &report->crashes[i];
		struct share_crash told = { report->fingerprint, crash->server,
					    crash->ran_us,
					    audience->now_us - crash->at_us };

		router_send(audience->effects, audience->peer,
			    share_write_crash(&told));
	}
}

void router_tell_crashes(const struct router *router, uint64_t peer,
			 int64_t now_us, struct effects *effects)
{
	struct crash_audience audience = { peer, now_us, effects };

	router_visit_crashes(router, now_us, tell_peer, &audience);
}
