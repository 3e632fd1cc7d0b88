#ifndef FILBERTHALL_AGREE_APPLY_H
#define FILBERTHALL_AGREE_APPLY_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agree/claim.h"
#include "agree/key.h"
#include "agree/settings.h"
#include "base/bytes.h"
#include "base/error.h"
#include "base/list.h"
#include "base/result.h"

/**
 * The agreed state: the replicated state machine. agreed_apply() is the only
 * function that changes it. Raft passes each committed entry to it on every
 * daemon, in the same order, so all have the same state at the same index. It
 * reads no clock: the time is in the entry, stamped by its proposer, and log
 * time never goes back.
 *
 * Failure handled: an operator doesn't get an answer and sends the command
 * again, perhaps to another VM, after a restart or a snapshot. Each command may
 * have a change id. The first result is kept under (operator, change id) and
 * returned again, so a resend changes nothing. A change id that was used for
 * another command is refused.
 */
struct agreed;
struct windows;
struct order_book;

/** The header of every entry. Strings are borrowed. */
struct entry_head {
	uint64_t origin;	 /**< proposing member */
	uint64_t incarnation;	 /**< incarnation of the proposing member */
	uint64_t ticket;	 /**< chosen by the proposer, returned in the
	                	 result */
	int64_t time_us;	 /**< proposer's wall clock */
	const char *operator_id; /**< key id of the operator, or NULL */
	const char *change_id;	 /**< or NULL */
};

/** What an entry changed, so that the reducer can act on it. */
enum change_kind {
	CHANGE_CLASS,	     /**< name: class; removed: it was deleted */
	CHANGE_ORGANISATION, /**< name: organisation */
	CHANGE_SERVICE,	     /**< name: service */
	CHANGE_BUDGET,	     /**< name: team */
	CHANGE_SITE,	     /**< name: path under "site/" */
	CHANGE_KEY,	     /**< name: key id; removed: withdrawn */
	CHANGE_CLAIM,	     /**< name: claim id; no longer OPEN or SENT */
	CHANGE_WINDOW,	     /**< number: usage window that was committed or
	              	     settled */
	CHANGE_ORDER	     /**< name: order id */
};

struct change {
	struct list node;
	enum change_kind kind;
	char *name;
	int64_t number;
	bool removed;
};

/** The result of one entry; free it with apply_result_clear(). */
struct apply_result {
	enum result code;
	uint64_t origin;
	uint64_t incarnation;
	uint64_t ticket;
	int64_t index;
	char *operator_id;
	bool repeated;	     /**< a resend; `answer` is the one to the first
	              	     command */
	json_t *answer;	     /**< JSON object for the operator, with "code" */
	struct list changes; /**< struct change, in order */
	struct claim_outcome *claims;
	size_t n_claims;
};

struct agreed *agreed_new(void);
void agreed_free(struct agreed *agreed);

/**
 * Apply one committed entry. An entry that can't be read changes nothing and
 * sets `result->code` to RESULT_MESSAGE_MALFORMED; an empty entry (a new
 * leader's) gives RESULT_OK. `index` must grow with each call.
 */
void agreed_apply(struct agreed *agreed, const void *entry, size_t len,
		  int64_t index, struct apply_result *result);
void apply_result_clear(struct apply_result *applied);

/** Index of the last entry applied, and the log time. */
int64_t agreed_index(const struct agreed *agreed);
int64_t agreed_time_us(const struct agreed *agreed);

/** The parts of the state, read-only. */
const struct settings *agreed_settings(const struct agreed *agreed);
const struct keys *agreed_keys(const struct agreed *agreed);
const struct claims *agreed_claims(const struct agreed *agreed);
const struct windows *agreed_windows(const struct agreed *agreed);
const struct order_book *agreed_orders(const struct agreed *agreed);

/**
 * Serialize the whole state; the bytes are the same on all daemons at the same
 * index.
 */
void agreed_snapshot(const struct agreed *agreed, struct bytes *out);

/**
 * Replace the state by a snapshot. RESULT_MESSAGE_MALFORMED leaves it
 * unchanged. After RESULT_OK the reducer must reload all rules.
 */
enum result agreed_restore(struct agreed *agreed, const void *snapshot,
			   size_t len);

/* Builders of entries: each appends one complete entry to `out`. */

/**
 * An operator's command that changes the state: "settings-set",
 * "settings-delete", "settings-apply", "settings-revert", "key-grant",
 * "key-limit", "key-withdraw" (arguments in agree/admin.h). `head->operator_id`
 * names the operator; `head->change_id` is optional.
 */
void entry_admin(struct bytes *out, const struct entry_head *head,
		 const char *command, const json_t *args);

/**
 * The first entry of a new site: the settings of its seed file and the first
 * operator's key, which may change the whole tree. Refused with RESULT_CONFLICT
 * if any key or setting exists.
 */
void entry_seed(struct bytes *out, const struct entry_head *head,
		const json_t *values, const char *key_id, const char *key_hash);

/** A batch of claim operations of the proposing (origin, incarnation). */
void entry_claims(struct bytes *out, const struct entry_head *head,
		  const struct claim_op *ops, size_t n);

/** The leader found that (member, incarnation) will never come back. */
void entry_owner_gone(struct bytes *out, const struct entry_head *head,
		      const struct claim_owner *owner);

/**
 * Commit the figures of a usage window before they are first reported. `rows`
 * is in the format of usage/window.h. A window that is already committed keeps
 * its figures and gives RESULT_CONFLICT.
 */
void entry_window(struct bytes *out, const struct entry_head *head,
		  int64_t window, const json_t *rows);

/** The platform accepted, or permanently refused, a window's report. */
void entry_window_settled(struct bytes *out, const struct entry_head *head,
			  int64_t window, bool accepted);

/**
 * An order is about to be sent to the platform or an engine: `order` has
 * "order_id", "verb", "fence" and the order's arguments.
 */
void entry_order(struct bytes *out, const struct entry_head *head,
		 const json_t *order);

/** The outcome of an order: "accepted", "done", "refused" or "unavailable". */
void entry_order_settled(struct bytes *out, const struct entry_head *head,
			 const char *order_id, const char *state,
			 const char *address);

#endif
