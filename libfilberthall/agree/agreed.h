#ifndef FILBERTHALL_AGREE_AGREED_H
#define FILBERTHALL_AGREE_AGREED_H

#include <jansson.h>
#include <stdint.h>

#include "agree/apply.h"
#include "agree/order_book.h"
#include "agree/resend.h"
#include "usage/window.h"

/**
 * Internals of the agreed state, shared by apply.c, apply_admin.c and
 * snapshot.c; not for other modules.
 */
struct agreed {
	struct settings *settings;
	struct keys *keys;
	struct claims *claims;
	struct windows *windows;
	struct order_book *orders;
	struct resends *resends;
	int64_t index;
	int64_t time_us; /**< log time, never goes back */
};

/** A decoded entry. Strings are borrowed from the decoded JSON value. */
struct entry {
	struct entry_head head;
	const char *kind;
	json_t *body;
};

/** Record a change for the reducer. */
void apply_result_add_change(struct apply_result *result, enum change_kind kind,
			     const char *name, int64_t number, bool removed);

/** Apply entries of the kinds "admin" and "seed". */
void agreed_apply_admin(struct agreed *agreed, const struct entry *entry,
			struct apply_result *result);
void agreed_apply_seed(struct agreed *agreed, const struct entry *entry,
		       struct apply_result *result);

/** Set the limits of claims from the settings. */
void agreed_set_limits(struct agreed *agreed);

#endif
