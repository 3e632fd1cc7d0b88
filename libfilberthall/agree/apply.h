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
 * The agreed state and the one function that changes it. Raft hands each
 * committed entry to agreed_apply() on every daemon, in the same order, so
 * all hold the same state at the same index. It reads no clock: time comes
 * in the entry, stamped by its proposer, and log time never goes back.
 *
 * Failure answered: an operator's answer is lost and the command sent again,
 * perhaps to another VM, after a restart or a snapshot. Each command may
 * carry a change id; the first result is kept under (operator, change id)
 * and given again, so a resend changes nothing. A change id used for another
 * command is refused.
 */
struct agreed;
struct windows;
struct order_book;

/** What every entry begins with. Text is borrowed. */
struct entry_head {
	uint64_t origin;	 /**< proposing member */
	uint64_t incarnation;	 /**< of the proposing member */
	uint64_t ticket;	 /**< the proposer's own, handed back */
	int64_t time_us;	 /**< proposer's wall clock */
	const char *operator_id; /**< key id of the operator, or NULL */
	const char *change_id;	 /**< or NULL */
};

/** What an entry changed, for the reducer to act on. */
enum change_kind {
	CHANGE_CLASS,	     /**< name: class; removed: it's gone */
	CHANGE_ORGANISATION, /**< name: organisation */
	CHANGE_SERVICE,	     /**< name: service */
	CHANGE_BUDGET,	     /**< name: team */
	CHANGE_SITE,	     /**< name: path under "site/" */
	CHANGE_KEY,	     /**< name: key id; removed: withdrawn */
	CHANGE_CLAIM,	     /**< name: claim id; it left OPEN or SENT */
	CHANGE_WINDOW,	     /**< number: usage window committed, settled */
	CHANGE_ORDER	     /**< name: order id */
};

struct change {
	struct list node;
	enum change_kind kind;
	char *name;
	int64_t number;
	bool removed;
};

/** What came of one entry; apply_result_clear() frees it. */
struct apply_result {
	enum result code;
	uint64_t origin;
	uint64_t incarnation;
	uint64_t ticket;
	int64_t index;
	char *operator_id;
	bool repeated;	     /**< a resend; `answer` is the first's */
	json_t *answer;	     /**< JSON object for the operator, with "code" */
	struct list changes; /**< struct change, in order */
	struct claim_outcome *claims;
	size_t n_claims;
};

struct agreed *agreed_new(void);
void agreed_free(struct agreed *agreed);

/**
 * Apply one committed entry. Never fails by surprise: an entry that can't be
 * read changes nothing and `result->code` is RESULT_MESSAGE_MALFORMED; an
 * empty entry (a new leader's) is RESULT_OK. `index` must grow.
 */
void agreed_apply(struct agreed *agreed, const void *entry, size_t len,
		  int64_t index, struct apply_result *result);
void apply_result_clear(struct apply_result *applied);

/** Index of the last entry applied, and log time. */
int64_t agreed_index(const struct agreed *agreed);
int64_t agreed_time_us(const struct agreed *agreed);

/** The parts, to be read. */
const struct settings *agreed_settings(const struct agreed *agreed);
const struct keys *agreed_keys(const struct agreed *agreed);
const struct claims *agreed_claims(const struct agreed *agreed);
const struct windows *agreed_windows(const struct agreed *agreed);
const struct order_book *agreed_orders(const struct agreed *agreed);

/** The whole state as bytes, the same on all daemons at one index. */
void agreed_snapshot(const struct agreed *agreed, struct bytes *out);

/**
 * Replace the state by a snapshot. RESULT_MESSAGE_MALFORMED leaves the state
 * as it was. The reducer then takes all rules anew.
 */
enum result agreed_restore(struct agreed *agreed, const void *snapshot,
			   size_t len);

/*
 * Builders of entries: each appends one whole entry to `out`.
 */

/**
 * An operator's command that writes: "settings-set", "settings-delete",
 * "settings-apply", "settings-revert", "key-grant", "key-limit",
 * "key-withdraw" (arguments in agree/admin.h). `head->operator_id` and
 * `head->change_id` say by whom.
 */
void entry_admin(struct bytes *out, const struct entry_head *head,
		 const char *command, const json_t *args);

/**
 * First entry of a new site: the settings of its seed file and the first
 * operator's key, which reaches the whole tree. Refused (RESULT_CONFLICT)
 * when any key or setting exists.
 */
void entry_seed(struct bytes *out, const struct entry_head *head,
		const json_t *values, const char *key_id, const char *key_hash);

/** A batch of claim operations of the proposing (origin, incarnation). */
void entry_claims(struct bytes *out, const struct entry_head *head,
		  const struct claim_op *ops, size_t n);

/** The leader found that (member, incarnation) is gone for good. */
void entry_owner_gone(struct bytes *out, const struct entry_head *head,
		      const struct claim_owner *owner);

/**
 * Commit the figures of a usage window before their first report. `rows` as
 * usage/window.h has them. A window that was committed keeps its first
 * figures: the answer is RESULT_CONFLICT.
 */
void entry_window(struct bytes *out, const struct entry_head *head,
		  int64_t window, const json_t *rows);

/** The platform acknowledged (or refused for good) a window's report. */
void entry_window_settled(struct bytes *out, const struct entry_head *head,
			  int64_t window, bool accepted);

/**
 * An order is about to be sent to the platform or an engine: `order` has
 * "order_id", "verb", "fence" and the order's arguments.
 */
void entry_order(struct bytes *out, const struct entry_head *head,
		 const json_t *order);

/** An order's end: state "accepted", "done", "refused", "unavailable". */
void entry_order_settled(struct bytes *out, const struct entry_head *head,
			 const char *order_id, const char *state,
			 const char *address);

#endif
