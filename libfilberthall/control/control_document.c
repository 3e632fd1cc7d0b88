/*
 * Operators' calls: a change of the document goes through the log, a read
 * needs proof that nobody else leads.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "control/control_state.h"

void control_answer(struct effects *effects, uint64_t call, enum result code,
		    const struct bytes *body)
{
	struct effect *effect = effects_add(effects, EFFECT_ADMIN_ANSWER);

	effect->u.admin_answer.id = call;
	effect->u.admin_answer.code = code;
	if (body)
		effect->u.admin_answer.body = bytes_copy(body);
}

/* Name the leader, if another VM is known to be it. */
void control_answer_elsewhere(const struct control *control, uint64_t call,
			      const char *what, int64_t version,
			      struct effects *effects)
{
	uint64_t leader = raft_leader(control->raft);
	const struct member *member = NULL;
	struct bytes address = { 0 };

	if (leader != control->options.self)
		member = members_find(raft_members(control->raft), leader);
	if (member)
		bytes_append_text(&address, member->address);
	control_log(effects, LOG_INFO, "document",
		    "event=redirected call=%llu what=%s version=%lld "
		    "held=%lld leader=%s term=%lld",
		    (unsigned long long)call, what, (long long)version,
		    (long long)control->ledger.version,
		    member ? member->vm : "",
		    (long long)raft_term(control->raft));
	control_answer(effects, call, RESULT_NOT_LEADER, &address);
	bytes_clear(&address);
}

static void take_document(struct control *control, struct document *document)
{
	document_free(control->document);
	control->document = document;
}

static void ask_to_read(struct control *control, struct effects *effects)
{
	struct effect_read_document *ask;

	if (control->reading || !control->ledger.version)
		return;
	control->reading = true;
	ask = &effects_add(effects, EFFECT_READ_DOCUMENT)->u.read_document;
	ask->version = control->ledger.version;
	ask->text = bytes_copy(&control->ledger.document);
}

/* Another document is in force; `document` is what it says, NULL if unread. */
void control_new_document(struct control *control, struct document *document,
			  struct effects *effects)
{
	if (document)
		take_document(control, document);
	else
		ask_to_read(control, effects);
}

static bool is_read(const struct control *control)
{
	return control->document &&
	       control->document->version == control->ledger.version;
}

void control_document_read(struct control *control, int64_t version,
			   struct document *document, int64_t now_us,
			   struct effects *effects)
{
	control->reading = false;
	if (version == control->ledger.version && document) {
		take_document(control, document);
	} else {
		document_free(document);
		if (version != control->ledger.version && !is_read(control))
			ask_to_read(control, effects);
	}
	if (!control->reading)
		control_answer_fetches(control, effects);
}

/* `document` is taken over; NULL if it hasn't been read here. */
static void propose(struct control *control, struct control_caller caller,
		    int64_t version, struct document *document,
		    const struct bytes *text, int64_t now_us,
		    struct effects *effects)
{
	const struct control_proposal *proposal;
	struct bytes entry = { 0 };

	ledger_write_document(&entry, version, text);
	proposal = control_propose(control, caller, document, &entry, now_us,
				   effects);
	bytes_clear(&entry);
	if (!proposal)
		return;
	control_log(effects, LOG_INFO, "document",
		    "event=proposed call=%llu version=%lld held=%lld "
		    "index=%lld term=%lld",
		    (unsigned long long)caller.call, (long long)version,
		    (long long)control->ledger.version,
		    (long long)proposal->index, (long long)proposal->term);
}

/* Overtaken or sent again: true wherever it is said. False if it is neither. */
static bool answer_held(const struct control *control,
			const struct control_caller *caller, int64_t version,
			struct effects *effects)
{
	if (version > control->ledger.version)
		return false;
	control_log(effects, LOG_INFO, "document",
		    "event=held call=%llu version=%lld held=%lld",
		    (unsigned long long)caller->call, (long long)version,
		    (long long)control->ledger.version);
	control_answer_change(caller, RESULT_OK, effects);
	return true;
}

/* Whether to propose the change here; else it was answered or forwarded. */
static bool takes_change(struct control *control,
			 const struct control_caller *caller, int64_t version,
			 const struct bytes *text, int64_t now_us,
			 struct effects *effects)
{
	if (answer_held(control, caller, version, effects))
		return false;
	if (raft_is_leader(control->raft))
		return !control_refuse_few_disks(control, caller, "document",
						 effects);
	if (!control_forward_document(control, caller->call, version, text,
				      now_us, effects))
		control_answer_elsewhere(control, caller->call, "change",
					 version, effects);
	return false;
}

void control_put_document(struct control *control, uint64_t call,
			  struct document *document, const struct bytes *text,
			  int64_t now_us, struct effects *effects)
{
	struct control_caller caller = { 0, call };

	if (!takes_change(control, &caller, document->version, text, now_us,
			  effects)) {
		document_free(document);
		return;
	}
	propose(control, caller, document->version, document, text, now_us,
		effects);
	control_drain(control, now_us, effects);
}

/** A change that another control VM forwarded. It isn't forwarded again. */
void control_receive_change(struct control *control, uint64_t id,
			    const struct feed_change *change, int64_t now_us,
			    struct effects *effects)
{
	const struct feed_peer *peer = feed_peer_find(&control->peers, id);
	struct control_caller caller = { id, change->call };
	struct bytes text = { 0 };

	if (!peer || peer->observer)
		return;
	if (answer_held(control, &caller, change->version, effects))
		return;
	if (!raft_is_leader(control->raft)) {
		control_answer_change(&caller, RESULT_NOT_LEADER, effects);
		return;
	}
	if (control_refuse_few_disks(control, &caller, "document", effects))
		return;
	bytes_append(&text, change->text, change->len);
	propose(control, caller, change->version, NULL, &text, now_us, effects);
	bytes_clear(&text);
	control_drain(control, now_us, effects);
}

void control_get_document(struct control *control, uint64_t call,
			  int64_t now_us, struct effects *effects)
{
	enum result code = RESULT_OK;

	if (!raft_is_leader(control->raft)) {
		control_answer_elsewhere(control, call, "read", 0, effects);
		return;
	}
	if (!raft_may_read(control->raft, now_us) || !control->ledger.version)
		code = RESULT_NO_QUORUM;
	control_log(effects, LOG_INFO, "document",
		    "event=read call=%llu version=%lld code=%s",
		    (unsigned long long)call,
		    (long long)control->ledger.version, result_name(code));
	control_answer(effects, call, code,
		       code ? NULL : &control->ledger.document);
}
