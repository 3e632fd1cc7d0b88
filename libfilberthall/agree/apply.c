#include "agree/apply.h"

#include <stdlib.h>
#include <string.h>

#include "agree/agreed.h"
#include "agree/codec.h"
#include "agree/rules.h"
#include "base/alloc.h"

struct agreed *agreed_new(void)
{
	struct agreed *agreed = xcalloc(1, sizeof(*agreed));

	agreed->settings = settings_new();
	agreed->keys = keys_new();
	agreed->claims = claims_new();
	agreed->windows = windows_new();
	agreed->orders = order_book_new();
	agreed->resends = resends_new();
	agreed_set_limits(agreed);
	return agreed;
}

void agreed_free(struct agreed *agreed)
{
	if (!agreed)
		return;
	settings_free(agreed->settings);
	keys_free(agreed->keys);
	claims_free(agreed->claims);
	windows_free(agreed->windows);
	order_book_free(agreed->orders);
	resends_free(agreed->resends);
	free(agreed);
}

void agreed_set_limits(struct agreed *agreed)
{
	static const char path[] = "site/claims";
	const struct settings *settings = agreed->settings;
	struct claim_limits limits = {
		.keep_us = (int64_t)rules_number(settings, path, "keep_s") *
			   1000000,
		.max_claims =
			(int64_t)rules_number(settings, path, "max_claims"),
		.max_bytes = (int64_t)rules_number(settings, path, "max_bytes"),
		.answer_bytes =
			(int64_t)rules_number(settings, path, "answer_bytes"),
	};

	claims_set_limits(agreed->claims, &limits);
}

int64_t agreed_index(const struct agreed *agreed)
{
	return agreed->index;
}

int64_t agreed_time_us(const struct agreed *agreed)
{
	return agreed->time_us;
}

const struct settings *agreed_settings(const struct agreed *agreed)
{
	return agreed->settings;
}

const struct keys *agreed_keys(const struct agreed *agreed)
{
	return agreed->keys;
}

const struct claims *agreed_claims(const struct agreed *agreed)
{
	return agreed->claims;
}

const struct windows *agreed_windows(const struct agreed *agreed)
{
	return agreed->windows;
}

const struct order_book *agreed_orders(const struct agreed *agreed)
{
	return agreed->orders;
}

void apply_result_add_change(struct apply_result *result, enum change_kind kind,
			     const char *name, int64_t number, bool removed)
{
	struct change *change = xcalloc(1, sizeof(*change));

	change->kind = kind;
	change->name = xstrdup(name ? name : "");
	change->number = number;
	change->removed = removed;
	list_append(&result->changes, &change->node);
}

void apply_result_clear(struct apply_result *applied)
{
	struct change *change;
	struct change *next;

	list_foreach_safe(change, next, &applied->changes, node) {
		list_remove(&change->node);
		free(change->name);
		free(change);
	}
	json_decref(applied->answer);
	free(applied->operator_id);
	free(applied->claims);
	memset(applied, 0, sizeof(*applied));
	list_init(&applied->changes);
}

/* Read one operation; its strings are borrowed from `item`. */
static bool apply_read_claim_op(json_t *item, struct claim_op *op)
{
	json_int_t ticket;
	json_int_t status;
	const char *id;
	json_t *body;
	int verb;
	int sending;

	memset(op, 0, sizeof(*op));
	if (json_unpack(item, "[i I s s b I s o]", &verb, &ticket, &id,
			&op->body_hash, &sending, &status, &op->content_type,
			&body) < 0 ||
	    verb < CLAIM_VERB_OPEN || verb > CLAIM_VERB_RELEASE ||
	    strlen(id) != CLAIM_ID_SIZE - 1 || !json_is_string(body))
		return false;
	op->verb = (enum claim_verb)verb;
	op->ticket = (uint64_t)ticket;
	memcpy(op->id, id, CLAIM_ID_SIZE);
	op->sending = sending;
	op->http_status = status;
	op->body = json_string_value(body);
	op->body_len = json_string_length(body);
	return true;
}

static void apply_record_lost_claim(void *data, const char *id)
{
	apply_result_add_change(data, CHANGE_CLAIM, id, 0, true);
}

static void apply_claim_op(struct agreed *agreed, const struct entry *entry,
			   const struct claim_op *op,
			   struct apply_result *result)
{
	struct claim_owner owner = { entry->head.origin,
				     entry->head.incarnation };
	struct claim_outcome *outcome = &result->claims[result->n_claims++];

	outcome->ticket = op->ticket;
	outcome->verb = op->verb;
	memcpy(outcome->id, op->id, CLAIM_ID_SIZE);
	outcome->code =
		claims_apply(agreed->claims, &owner, op, agreed->time_us);
	if (outcome->code == RESULT_OK && op->verb != CLAIM_VERB_OPEN &&
	    op->verb != CLAIM_VERB_SENT)
		apply_result_add_change(result, CHANGE_CLAIM, op->id, 0,
					op->verb == CLAIM_VERB_RELEASE);
}

/* Apply a whole batch, or nothing if any operation can't be read. */
static void apply_claims(struct agreed *agreed, const struct entry *entry,
			 struct apply_result *result)
{
	struct claim_owner before = { entry->head.origin,
				      entry->head.incarnation };
	struct claim_op op;
	json_t *item;
	size_t i;

	result->code = RESULT_MESSAGE_MALFORMED;
	if (!json_is_array(entry->body))
		return;
	json_array_foreach(entry->body, i, item)
		if (!apply_read_claim_op(item, &op))
			return;
	result->code = RESULT_OK;
	if (before.incarnation-- > 1)
		claims_owner_gone(agreed->claims, &before, agreed->time_us,
				  apply_record_lost_claim, result);
	result->claims = xcalloc(json_array_size(entry->body) + 1,
				 sizeof(*result->claims));
	json_array_foreach(entry->body, i, item) {
		apply_read_claim_op(item, &op);
		apply_claim_op(agreed, entry, &op, result);
	}
}

static void apply_owner_gone(struct agreed *agreed, const struct entry *entry,
			     struct apply_result *result)
{
	struct claim_owner owner;
	json_int_t member;
	json_int_t incarnation;

	if (json_unpack(entry->body, "[I I]", &member, &incarnation) < 0) {
		result->code = RESULT_MESSAGE_MALFORMED;
		return;
	}
	owner.member = (uint64_t)member;
	owner.incarnation = (uint64_t)incarnation;
	claims_owner_gone(agreed->claims, &owner, agreed->time_us,
			  apply_record_lost_claim, result);
}

static void apply_window(struct agreed *agreed, const struct entry *entry,
			 struct apply_result *result)
{
	int64_t window = codec_int(entry->body, "window", -1);

	result->code =
		window < 0
			? RESULT_MESSAGE_MALFORMED
			: windows_commit(agreed->windows, window,
					 json_object_get(entry->body, "rows"));
	if (result->code == RESULT_OK)
		apply_result_add_change(result, CHANGE_WINDOW, NULL, window,
					false);
}

static void apply_window_settled(struct agreed *agreed,
				 const struct entry *entry,
				 struct apply_result *result)
{
	int64_t window = codec_int(entry->body, "window", -1);
	bool accepted = json_is_true(json_object_get(entry->body, "accepted"));

	result->code = windows_settle(agreed->windows, window, accepted);
	if (result->code == RESULT_OK)
		apply_result_add_change(result, CHANGE_WINDOW, NULL, window,
					false);
}

static void apply_order(struct agreed *agreed, const struct entry *entry,
			struct apply_result *result)
{
	result->code = order_book_place(agreed->orders, entry->body,
					entry->head.time_us, agreed->index);
	if (result->code == RESULT_OK)
		apply_result_add_change(result, CHANGE_ORDER,
					codec_text(entry->body, "order_id", ""),
					0, false);
}

static void apply_order_settled(struct agreed *agreed,
				const struct entry *entry,
				struct apply_result *result)
{
	const char *order_id = codec_text(entry->body, "order_id", "");

	result->code =
		order_book_settle(agreed->orders, order_id,
				  codec_text(entry->body, "state", ""),
				  codec_text(entry->body, "address", ""));
	if (result->code == RESULT_OK)
		apply_result_add_change(result, CHANGE_ORDER, order_id, 0,
					false);
}

static const struct {
	const char *kind;
	void (*apply)(struct agreed *agreed, const struct entry *entry,
		      struct apply_result *result);
} apply_kinds[] = {
	{ "admin", agreed_apply_admin },
	{ "seed", agreed_apply_seed },
	{ "claims", apply_claims },
	{ "owner-gone", apply_owner_gone },
	{ "window", apply_window },
	{ "window-settled", apply_window_settled },
	{ "order", apply_order },
	{ "order-settled", apply_order_settled },
};

static bool apply_read_entry(json_t *value, struct entry *entry)
{
	json_int_t origin;
	json_int_t incarnation;
	json_int_t ticket;
	json_int_t time_us;
	int version;

	memset(entry, 0, sizeof(*entry));
	if (json_unpack(value, "{si ss sI sI sI sI s?s s?s so}", "v", &version,
			"kind", &entry->kind, "origin", &origin, "incarnation",
			&incarnation, "ticket", &ticket, "time_us", &time_us,
			"operator", &entry->head.operator_id, "change_id",
			&entry->head.change_id, "body", &entry->body) < 0 ||
	    version != 1 || time_us < 0)
		return false;
	entry->head.origin = (uint64_t)origin;
	entry->head.incarnation = (uint64_t)incarnation;
	entry->head.ticket = (uint64_t)ticket;
	entry->head.time_us = time_us;
	return true;
}

/*
 * Log time follows the proposers' clocks. It never goes back, and advances by a
 * limited step per entry: a VM whose clock jumps ahead can't make every claim
 * look a day old, which would let requests run a second time.
 */
static void apply_advance_time(struct agreed *agreed, int64_t time_us)
{
	if (agreed->time_us && time_us > agreed->time_us + CLAIM_TIME_STEP_US)
		time_us = agreed->time_us + CLAIM_TIME_STEP_US;
	if (time_us > agreed->time_us)
		agreed->time_us = time_us;
}

static void apply_entry(struct agreed *agreed, const struct entry *entry,
			struct apply_result *result)
{
	size_t i;

	result->origin = entry->head.origin;
	result->incarnation = entry->head.incarnation;
	result->ticket = entry->head.ticket;
	result->operator_id = xstrdup(entry->head.operator_id);
	for (i = 0; i < sizeof(apply_kinds) / sizeof(apply_kinds[0]); i++) {
		if (strcmp(apply_kinds[i].kind, entry->kind) != 0)
			continue;
		apply_advance_time(agreed, entry->head.time_us);
		claims_expire(agreed->claims, agreed->time_us);
		resends_expire(agreed->resends, agreed->time_us);
		apply_kinds[i].apply(agreed, entry, result);
		return;
	}
	result->code = RESULT_MESSAGE_MALFORMED;
}

void agreed_apply(struct agreed *agreed, const void *data, size_t len,
		  int64_t index, struct apply_result *result)
{
	struct entry entry;
	json_t *value;

	memset(result, 0, sizeof(*result));
	list_init(&result->changes);
	result->index = index;
	agreed->index = index;
	if (!len)
		return;
	value = codec_decode(data, len);
	if (value && apply_read_entry(value, &entry))
		apply_entry(agreed, &entry, result);
	else
		result->code = RESULT_MESSAGE_MALFORMED;
	json_decref(value);
}
