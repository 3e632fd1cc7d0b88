#include "fleet/order.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree/codec.h"
#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/list.h"

#define ORDER_LIST_ID "order-list"

/* Verb of the fencing entry, which is never sent to the platform. */
#define ORDER_FENCE_VERB "charge"

/* A proposal that isn't in the order book after this is taken as lost. */
#define ORDER_PROPOSE_US INT64_C(45000000)

/* What this daemon has proposed and sent for one order. */
struct sent_order {
	struct list node;
	char *order_id;
	int64_t placed_us;   /**< when this daemon proposed it, 0 if not */
	int64_t next_us;     /**< not sent again before */
	int64_t retry_us;    /**< delay of the next retry */
	char proposed[16];   /**< last state that was proposed */
	int64_t proposed_us; /**< when `proposed` was set */
};

struct orders {
	struct order_hooks hooks;
	struct list sent;
	bool fenced; /**< orders of earlier holders are rejected */
	bool ready;
	int64_t fence_next_us;
	int64_t list_next_us;
	int64_t sequence;
};

struct orders *orders_new(const struct order_hooks *hooks)
{
	struct orders *orders = xcalloc(1, sizeof(*orders));

	orders->hooks = *hooks;
	list_init(&orders->sent);
	return orders;
}

static void sent_order_free(struct sent_order *sent)
{
	list_remove(&sent->node);
	free(sent->order_id);
	free(sent);
}

/* Keeps orders that were proposed here: they may still be committed. */
void orders_reset(struct orders *orders)
{
	struct sent_order *sent;
	struct sent_order *next;

	list_foreach_safe(sent, next, &orders->sent, node) {
		if (!sent->placed_us) {
			sent_order_free(sent);
			continue;
		}
		sent->next_us = 0;
		sent->retry_us = ORDER_RETRY_US;
		sent->proposed[0] = '\0';
	}
	orders->fenced = false;
	orders->ready = false;
	orders->fence_next_us = 0;
	orders->list_next_us = 0;
}

void orders_free(struct orders *orders)
{
	struct sent_order *sent;
	struct sent_order *next;

	if (!orders)
		return;
	list_foreach_safe(sent, next, &orders->sent, node)
		sent_order_free(sent);
	free(orders);
}

bool orders_ready(const struct orders *orders)
{
	return orders->ready;
}

static struct sent_order *orders_find(struct orders *orders,
				      const char *order_id)
{
	struct sent_order *sent;

	list_foreach(sent, &orders->sent, node)
		if (!strcmp(sent->order_id, order_id))
			return sent;
	return NULL;
}

static struct sent_order *orders_get(struct orders *orders,
				     const char *order_id)
{
	struct sent_order *sent = orders_find(orders, order_id);

	if (sent)
		return sent;
	sent = xcalloc(1, sizeof(*sent));
	sent->order_id = xstrdup(order_id);
	sent->retry_us = ORDER_RETRY_US;
	list_append(&orders->sent, &sent->node);
	return sent;
}

/*
 * A call that is still pending after the lease could reach the platform at the
 * same time as one of the next holder, so its timeout must end before.
 */
static bool order_fits_lease(const struct order_situation *situation)
{
	return situation->now_us + ORDER_TIMEOUT_MS * INT64_C(1000) <=
	       situation->until_us;
}

/* Search for an open stop of the server at that address. */
struct order_search {
	const char *address;
	bool found;
};

static void order_search_stop(void *data, const struct placed_order *placed)
{
	struct order_search *search = data;

	if (!placed->settled &&
	    !strcmp(codec_text(placed->order, "verb", ""), "stop") &&
	    !strcmp(codec_text(placed->order, "address", ""), search->address))
		search->found = true;
}

static json_t *order_build(const char *order_id,
			   const struct order_situation *situation,
			   const struct target_step *step)
{
	if (!step->start)
		return json_pack("{ss sI ss ss}", "order_id", order_id, "fence",
				 (json_int_t)situation->fence, "verb", "stop",
				 "address", step->address);
	return json_pack("{ss sI ss ss ss ss}", "order_id", order_id, "fence",
			 (json_int_t)situation->fence, "verb", "start", "zone",
			 step->zone, step->is_service ? "service" : "model",
			 step->pool, "kind", step->cheap ? "cheap" : "steady");
}

/*
 * The plan is based on the order book. While an order of an earlier plan isn't
 * committed yet (a slow quorum), the next plan would order the same server
 * again, and both orders would be committed.
 */
static bool orders_are_uncommitted(struct orders *orders,
				   const struct order_situation *situation)
{
	struct sent_order *sent;
	struct sent_order *next;
	bool found = false;

	list_foreach_safe(sent, next, &orders->sent, node) {
		if (!sent->placed_us || sent->placed_us == situation->now_us ||
		    order_book_find(situation->book, sent->order_id))
			continue;
		if (situation->now_us - sent->placed_us < ORDER_PROPOSE_US)
			found = true;
		else
			sent_order_free(sent);
	}
	return found;
}

/* Ids contain the fencing number, so no two lease holders use the same id. */
enum result orders_place(struct orders *orders,
			 const struct order_situation *situation,
			 const struct target_step *step)
{
	struct order_search search = { .address = step->address };
	cleanup(free_ptr) char *order_id = NULL;
	json_t *order;

	if (!orders->ready || !order_fits_lease(situation))
		return RESULT_LEASE_LOST;
	if (orders_are_uncommitted(orders, situation))
		return RESULT_CONFLICT;
	if (!step->start)
		order_book_visit(situation->book, order_search_stop, &search);
	if (search.found)
		return RESULT_OK;
	order_id = xstrfmt("o-%lld-%lld", (long long)situation->fence,
			   (long long)++orders->sequence);
	order = order_build(order_id, situation, step);
	orders_get(orders, order_id)->placed_us = situation->now_us;
	orders->hooks.place(orders->hooks.data, order);
	json_decref(order);
	return RESULT_OK;
}

/* Whether a settlement is proposed and may still be committed. */
static bool sent_order_is_settling(const struct sent_order *sent,
				   int64_t now_us)
{
	return *sent->proposed && now_us - sent->proposed_us < ORDER_PROPOSE_US;
}

static void orders_settle(struct orders *orders, struct sent_order *sent,
			  const char *state, const char *address,
			  int64_t now_us)
{
	if (!strcmp(sent->proposed, state) &&
	    sent_order_is_settling(sent, now_us))
		return;
	snprintf(sent->proposed, sizeof(sent->proposed), "%s", state);
	sent->proposed_us = now_us;
	orders->hooks.settle(orders->hooks.data, sent->order_id, state,
			     address);
}

static void order_call(const char *order_id, const char *verb,
		       const struct order_situation *situation,
		       const json_t *order, struct effects *effects)
{
	struct effect *effect = effects_add(effects, EFFECT_PLATFORM_CALL);
	struct effect_platform_call *call = &effect->u.platform_call;
	cleanup(free_ptr) char *text = NULL;
	json_t *body = order ? json_deep_copy(order) : json_object();

	json_object_set_new(body, "fence", json_integer(situation->fence));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	call->order_id = xstrdup(order_id);
	call->verb = xstrdup(verb);
	call->fence = situation->fence;
	call->timeout_ms = ORDER_TIMEOUT_MS;
	call->until_us = situation->until_us;
	bytes_append_text(&call->body, text ? text : "{}");
}

/* Send a placed order, or send it again. */
static void orders_send(struct orders *orders,
			const struct order_situation *situation,
			const struct placed_order *placed,
			struct effects *effects)
{
	struct sent_order *sent = orders_get(orders, placed->order_id);

	if (sent_order_is_settling(sent, situation->now_us) ||
	    situation->now_us < sent->next_us || !order_fits_lease(situation))
		return;
	order_call(placed->order_id, codec_text(placed->order, "verb", ""),
		   situation, placed->order, effects);
	sent->next_us = situation->now_us + ORDER_TIMEOUT_MS * INT64_C(1000) +
			sent->retry_us;
	sent->retry_us *= 2;
	if (sent->retry_us > ORDER_RETRY_MAX_US)
		sent->retry_us = ORDER_RETRY_MAX_US;
}

/* Settle an accepted order: a start is done once its server is announced. */
static void orders_check_done(struct orders *orders,
			      const struct order_situation *situation,
			      const struct placed_order *placed)
{
	struct sent_order *sent = orders_get(orders, placed->order_id);
	bool start = !strcmp(codec_text(placed->order, "verb", ""), "start");

	if (strcmp(placed->state, "accepted") != 0)
		return;
	if (!start ||
	    (*placed->address && fleet_find(situation->fleet, placed->address)))
		orders_settle(orders, sent, "done", placed->address,
			      situation->now_us);
	else if (situation->wall_us - placed->placed_us > ORDER_START_LIMIT_US)
		orders_settle(orders, sent, "failed", placed->address,
			      situation->now_us);
}

struct order_tick {
	struct orders *orders;
	const struct order_situation *situation;
	struct effects *effects;
};

static void orders_tick_one(void *data, const struct placed_order *placed)
{
	struct order_tick *tick = data;
	struct sent_order *sent;

	if (!strcmp(codec_text(placed->order, "verb", ""), ORDER_FENCE_VERB))
		return;
	if (placed->settled) {
		sent = orders_find(tick->orders, placed->order_id);
		if (sent)
			sent_order_free(sent);
		return;
	}
	if (!strcmp(placed->state, "placed"))
		orders_send(tick->orders, tick->situation, placed,
			    tick->effects);
	else
		orders_check_done(tick->orders, tick->situation, placed);
}

/*
 * An order that an earlier lease holder proposed may be committed only after
 * this holder has planned without it. So each holder first commits an entry
 * with its own fencing number; the order book then rejects lower ones.
 */
static void orders_place_fence(struct orders *orders,
			       const struct order_situation *situation)
{
	cleanup(free_ptr) char *id =
		xstrfmt("charge-%lld", (long long)situation->fence);
	json_t *fence_entry;

	if (order_book_find(situation->book, id)) {
		orders->fenced = true;
		orders->hooks.settle(orders->hooks.data, id, "done", "");
		return;
	}
	if (situation->now_us < orders->fence_next_us)
		return;
	orders->fence_next_us = situation->now_us + ORDER_RETRY_US;
	fence_entry = json_pack("{ss sI ss}", "order_id", id, "fence",
				(json_int_t)situation->fence, "verb",
				ORDER_FENCE_VERB);
	orders->hooks.place(orders->hooks.data, fence_entry);
	json_decref(fence_entry);
}

void orders_tick(struct orders *orders, const struct order_situation *situation,
		 struct effects *effects)
{
	struct order_tick tick = { orders, situation, effects };

	if (orders->ready) {
		order_book_visit(situation->book, orders_tick_one, &tick);
		return;
	}
	if (!orders->fenced)
		orders_place_fence(orders, situation);
	if (!orders->fenced || situation->now_us < orders->list_next_us ||
	    !order_fits_lease(situation))
		return;
	order_call(ORDER_LIST_ID, "list", situation, NULL, effects);
	orders->list_next_us = situation->now_us +
			       ORDER_TIMEOUT_MS * INT64_C(1000) +
			       ORDER_RETRY_US;
}

/* State of an open order according to its row in the platform's list. */
static const char *order_state_of_row(const struct placed_order *placed,
				      const char *state)
{
	bool start = !strcmp(codec_text(placed->order, "verb", ""), "start");

	if (!strcmp(state, "unavailable") || !strcmp(state, "refused"))
		return state;
	return start && !strcmp(state, "stopped") ? "failed" : "accepted";
}

/* Settle orders of the previous lease holder by the platform's list. */
static void orders_reconcile(struct orders *orders,
			     const struct order_situation *situation,
			     const json_t *list)
{
	const json_t *row;
	size_t i;

	json_array_foreach(list, i, row) {
		const char *id = codec_text(row, "order_id", "");
		const struct placed_order *placed =
			order_book_find(situation->book, id);
		const char *state;

		if (!placed || strcmp(placed->state, "placed") != 0)
			continue;
		state = order_state_of_row(placed,
					   codec_text(row, "state", ""));
		orders_settle(orders, orders_get(orders, id), state,
			      codec_text(row, "address", ""),
			      situation->now_us);
	}
	orders->ready = true;
}

static void orders_handle_answer(struct orders *orders,
				 const struct placed_order *placed,
				 enum result code, const json_t *body,
				 struct target *target, int64_t now_us)
{
	struct sent_order *sent = orders_get(orders, placed->order_id);
	const char *state = codec_text(body, "state", "");
	const json_t *order = placed->order;

	if (sent_order_is_settling(sent, now_us))
		return;
	if (code == RESULT_OK) {
		orders_settle(orders, sent, "accepted",
			      codec_text(body, "address", ""), now_us);
	} else if (!strcmp(state, "unavailable")) {
		orders_settle(orders, sent, state, "", now_us);
		if (target)
			target_unavailable(
				target, codec_text(order, "zone", ""),
				!strcmp(codec_text(order, "kind", ""), "cheap"),
				now_us);
	} else if (code == RESULT_PLATFORM_REFUSED) {
		orders_settle(orders, sent, "refused", "", now_us);
	}
}

void orders_answer(struct orders *orders,
		   const struct order_situation *situation,
		   const struct event_platform *platform, struct target *target)
{
	json_t *body = platform->body.len
			       ? json_loadb(platform->body.data,
					    platform->body.len, 0, NULL)
			       : NULL;
	const struct placed_order *placed;

	if (!platform->order_id) {
		json_decref(body);
		return;
	}
	placed = order_book_find(situation->book, platform->order_id);
	if (!strcmp(platform->order_id, ORDER_LIST_ID) && !orders->ready &&
	    platform->code == RESULT_OK && json_is_array(body))
		orders_reconcile(orders, situation, body);
	else if (placed && !placed->settled)
		orders_handle_answer(orders, placed,
				     (enum result)platform->code, body, target,
				     situation->now_us);
	json_decref(body);
}
