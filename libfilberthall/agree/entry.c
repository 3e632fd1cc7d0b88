#include <stdlib.h>

#include "agree/apply.h"
#include "agree/codec.h"

#define ENTRY_VERSION 1

static void entry_build(struct bytes *out, const struct entry_head *head,
			const char *kind, json_t *body)
{
	json_t *entry =
		json_pack("{si ss so so so sI ss* ss* so}", "v", ENTRY_VERSION,
			  "kind", kind, "origin", codec_uint(head->origin),
			  "incarnation", codec_uint(head->incarnation),
			  "ticket", codec_uint(head->ticket), "time_us",
			  (json_int_t)head->time_us, "operator",
			  head->operator_id, "change_id", head->change_id,
			  "body", body);

	codec_encode(entry, out);
	json_decref(entry);
}

void entry_admin(struct bytes *out, const struct entry_head *head,
		 const char *command, const json_t *args)
{
	entry_build(out, head, "admin",
		    json_pack("{ss sO}", "command", command, "args", args));
}

void entry_seed(struct bytes *out, const struct entry_head *head,
		const json_t *values, const char *key_id, const char *key_hash)
{
	entry_build(out, head, "seed",
		    json_pack("{sO ss ss}", "values", values, "key_id", key_id,
			      "key_hash", key_hash));
}

static json_t *entry_claim_op(const struct claim_op *op)
{
	return json_pack("[i o s s b I s o]", (int)op->verb,
			 codec_uint(op->ticket), op->id,
			 op->body_hash ? op->body_hash : "", op->sending,
			 (json_int_t)op->http_status,
			 op->content_type ? op->content_type : "",
			 json_stringn_nocheck(op->body ? op->body : "",
					      op->body_len));
}

void entry_claims(struct bytes *out, const struct entry_head *head,
		  const struct claim_op *ops, size_t n)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(list, entry_claim_op(&ops[i]));
	entry_build(out, head, "claims", list);
}

void entry_owner_gone(struct bytes *out, const struct entry_head *head,
		      const struct claim_owner *owner)
{
	entry_build(out, head, "owner-gone",
		    json_pack("[o o]", codec_uint(owner->member),
			      codec_uint(owner->incarnation)));
}

void entry_window(struct bytes *out, const struct entry_head *head,
		  int64_t window, const json_t *rows)
{
	entry_build(out, head, "window",
		    json_pack("{sI sO}", "window", (json_int_t)window, "rows",
			      rows));
}

void entry_window_settled(struct bytes *out, const struct entry_head *head,
			  int64_t window, bool accepted)
{
	entry_build(out, head, "window-settled",
		    json_pack("{sI sb}", "window", (json_int_t)window,
			      "accepted", accepted));
}

void entry_order(struct bytes *out, const struct entry_head *head,
		 const json_t *order)
{
	entry_build(out, head, "order", json_incref((json_t *)order));
}

void entry_order_settled(struct bytes *out, const struct entry_head *head,
			 const char *order_id, const char *state,
			 const char *address)
{
	entry_build(out, head, "order-settled",
		    json_pack("{ss ss ss}", "order_id", order_id, "state",
			      state, "address", address ? address : ""));
}
