/*
 * The reducer: takes one event and returns effects. core_handle_event()
 * dispatches events to the modules; periodic work is in core_tick().
 */
#include "core/core.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/core_state.h"

/* Interval of metrics, membership policy and the expiry of claim owners. */
#define CORE_SLOW_TICK_US 1000000

/* Half of Raft's heartbeat interval between voters. */
#define CORE_TICK_US 50000

void core_log(struct core *core, enum log_level level, const char *module,
	      const char *format, ...)
{
	struct effect_log *log = &effects_add(core->effects, EFFECT_LOG)->u.log;
	va_list args;
	char text[512];

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	log->level = level;
	log->module = xstrdup(module);
	log->message = xstrdup(text);
}

static void core_copy_text(char *slot, size_t size, const char *text)
{
	snprintf(slot, size, "%s", text ? text : "");
}

void core_fill_member(const struct core *core, struct member *member)
{
	memset(member, 0, sizeof(*member));
	member->id = core->options.self;
	core_copy_text(member->vm, sizeof(member->vm), core->options.vm);
	core_copy_text(member->zone, sizeof(member->zone), core->options.zone);
	core_copy_text(member->address, sizeof(member->address),
		       core->options.address);
	member->incarnation = core->options.incarnation;
	member->disk = core->options.disk;
}

static void core_copy_options(struct core *core,
			      const struct core_options *options)
{
	core->options = *options;
	core->options.vm = xstrdup(options->vm);
	core->options.zone = xstrdup(options->zone);
	core->options.address = xstrdup(options->address);
	core->options.seed_key_hash = xstrdup(options->seed_key_hash);
	core->options.seed_values = bytes_copy(&options->seed_values);
}

static void core_make_raft(struct core *core, int64_t now_us)
{
	struct raft_options options = raft_default_options();

	core_fill_member(core, &options.self);
	options.seed = rng_next(&core->rng);
	core->raft = raft_new(&options, now_us);
}

static void core_make_router(struct core *core)
{
	struct router_options options = { 0 };

	options.seed = rng_next(&core->rng);
	options.self = core->options.self;
	options.zone = core->options.zone;
	options.fleet = &core->fleet;
	options.features = router_features_all();
	options.hooks.finished = outcome_finished;
	options.hooks.data = core;
	core->router = router_new(&options);
}

enum result core_new(struct core **out, const struct core_options *options,
		     const struct raft_persistent_state *saved, int64_t now_us,
		     struct effects *effects)
{
	struct core *core = xcalloc(1, sizeof(*core));
	enum result code;

	core_copy_options(core, options);
	core->rng.state = options->seed;
	core->claim_owner = CORE_FIRST_CLAIM_OWNER(options->incarnation);
	core->now_us = now_us;
	core->effects = effects;
	core->links_members_index = -1;
	map_init(&core->requests);
	map_init(&core->peers);
	list_init(&core->claim_waiters);
	list_init(&core->proposals);
	list_init(&core->pending_calls);
	fleet_init(&core->fleet);
	core->metrics = metrics_new();
	core->agreed = agreed_new();
	core->usage = usage_new(options->self, options->incarnation);
	core->report = report_new();
	autoscaler_new(core);
	core_make_raft(core, now_us);
	core_make_router(core);
	code = raft_restore(core->raft, saved);
	if (!code && options->bootstrap && !saved->term)
		code = raft_bootstrap(core->raft, now_us, effects);
	if (code) {
		core_free(core);
		return code;
	}
	consensus_apply_committed(core);
	consensus_start(core);
	*out = core;
	return RESULT_OK;
}

static void core_free_lists(struct core *core)
{
	struct proposal *proposal;
	struct proposal *next_proposal;
	struct pending_call *call;
	struct pending_call *next_call;

	list_foreach_safe(proposal, next_proposal, &core->proposals, node)
		propose_free(proposal);
	list_foreach_safe(call, next_call, &core->pending_calls, node)
		free(call);
}

void core_free(struct core *core)
{
	if (!core)
		return;
	router_free(core->router);
	request_free_all(core);
	core_free_lists(core);
	peers_free_all(core);
	raft_free(core->raft);
	agreed_free(core->agreed);
	usage_free(core->usage);
	report_free(core->report);
	autoscaler_free(core);
	metrics_free(core->metrics);
	fleet_clear(&core->fleet);
	free((char *)core->options.vm);
	free((char *)core->options.zone);
	free((char *)core->options.address);
	free((char *)core->options.seed_key_hash);
	bytes_clear(&core->options.seed_values);
	free(core);
}

static void core_handle_link_message(struct core *core,
				     const struct event_link_message *message)
{
	switch (message->channel) {
	case LINK_RAFT:
		raft_message(core->raft, message->peer, message->body.data,
			     message->body.len, core->now_us, core->effects);
		break;
	case LINK_FORWARD:
		forward_message(core, message->peer, &message->body);
		break;
	case LINK_FLEET:
		gossip_message(core, message->peer, &message->body);
		break;
	case LINK_SHARE:
		router_message(core->router, message->peer, &message->body,
			       core->now_us, core->effects);
		break;
	case LINK_USAGE:
		billing_message(core, message->peer, &message->body);
		break;
	default:
		core_log(core, LOG_WARN, "core", "unknown channel %lld",
			 (long long)message->channel);
		break;
	}
}

static void core_stop(struct core *core, const struct event_stop *stop)
{
	if (core->stop_deadline_us) {
		/* A second stop request ends the grace period. */
		core->stop_deadline_us = core->now_us;
		return;
	}
	core->stop_deadline_us = core->now_us + stop->grace_ms * 1000;
	core_log(core, LOG_INFO, "core",
		 "stopping: refusing new requests, %lld still running",
		 (long long)router_load(core->router));
	router_drain(core->router, core->now_us);
	raft_transfer(core->raft, core->now_us, core->effects);
}

/*
 * A planned stop waits until all streams have ended, all proposals are settled
 * and leadership is transferred.
 */
static void core_try_exit(struct core *core)
{
	bool done;

	if (!core->stop_deadline_us || core->exited)
		return;
	done = !router_load(core->router) && list_empty(&core->proposals) &&
	       raft_transfer_done(core->raft);
	if (!done && core->now_us < core->stop_deadline_us)
		return;
	core->exited = true;
	core_log(core, done ? LOG_INFO : LOG_WARN, "core",
		 done ? "shutdown complete" : "grace period over, exiting");
	effects_add(core->effects, EFFECT_EXIT);
}

static void core_update_health(struct core *core)
{
	bool healthy = !core->stop_deadline_us && consensus_is_fresh(core);
	bool second = core->now_us - core->slow_tick_us >= CORE_SLOW_TICK_US;

	if (healthy != core->healthy)
		core_log(
			core, healthy ? LOG_INFO : LOG_WARN, "core",
			healthy ? "healthy"
				: "unhealthy: the load balancer should send no requests");
	if (healthy == core->healthy && !second && core->published)
		return;
	core->healthy = healthy;
	core->published = true;
	status_publish(core);
	if (!second)
		return;
	core->slow_tick_us = core->now_us;
	consensus_slow_tick(core);
}

static void core_tick(struct core *core, const struct event_tick *tick)
{
	core->wall_us = tick->wall_us;
	consensus_tick(core);
	gossip_expire(core);
	gossip_digest(core);
	router_tick(core->router, core->now_us, core->effects);
	request_expire(core);
	pending_call_tick(core);
	billing_tick(core);
	autoscaler_tick(core);
	core_update_health(core);
	core_try_exit(core);
}

static void core_handle_event(struct core *core, struct event *event)
{
	switch (event->kind) {
	case EVENT_TICK:
		core_tick(core, &event->u.tick);
		break;
	case EVENT_REQUEST:
		request_arrived(core, event);
		return; /* the request owns its event now */
	case EVENT_CALLER_LEFT:
		request_caller_left(core, event->u.caller_left.id);
		break;
	case EVENT_ATTEMPT_SENT:
		router_sent(core->router, &event->u.sent, core->now_us,
			    core->effects);
		break;
	case EVENT_ATTEMPT_TOKENS:
		router_tokens(core->router, &event->u.tokens, core->now_us,
			      core->effects);
		break;
	case EVENT_ATTEMPT_ENDED:
		router_ended(core->router, &event->u.ended, core->now_us,
			     core->effects);
		break;
	case EVENT_ANNOUNCE:
		gossip_announce(core, &event->u.announce);
		break;
	case EVENT_CACHE:
		gossip_cache(core, &event->u.cache);
		break;
	case EVENT_LINK_UP:
		peers_up(core, &event->u.link_up);
		break;
	case EVENT_LINK_DOWN:
		peers_down(core, event->u.link_down.peer);
		break;
	case EVENT_LINK_MESSAGE:
		core_handle_link_message(core, &event->u.link_message);
		break;
	case EVENT_DISK_SYNCED:
		raft_synced(core->raft, event->u.synced.ticket, core->now_us,
			    core->effects);
		break;
	case EVENT_DISK_FAILED:
		raft_disk_failed(core->raft,
				 (enum result)event->u.disk_failed.code,
				 core->now_us, core->effects);
		break;
	case EVENT_ADMIN:
		operator_call(core, &event->u.admin);
		break;
	case EVENT_PLATFORM:
		billing_platform_answer(core, &event->u.platform);
		autoscaler_platform_answer(core, &event->u.platform);
		break;
	case EVENT_STOP:
		core_stop(core, &event->u.stop);
		break;
	case EVENT_KINDS:
		break;
	}
	event_free(event);
}

void core_step(struct core *core, struct event *event, int64_t now_us,
	       struct effects *effects)
{
	core->now_us = now_us;
	core->effects = effects;
	event->at_us = now_us;
	core_handle_event(core, event);
	consensus_apply_committed(core);
	peers_update_links(core);
	peers_update_router(core);
}

int64_t core_next_tick(const struct core *core, int64_t now_us)
{
	int64_t at = router_next_tick(core->router, now_us);

	return at < now_us + CORE_TICK_US ? at : now_us + CORE_TICK_US;
}
