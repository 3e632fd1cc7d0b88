#ifndef FILBERTHALL_AGREE_AGREED_H
#define FILBERTHALL_AGREE_AGREED_H

#include <jansson.h>
#include <stdint.h>

#include "agree/apply.h"
#include "agree/order_book.h"
#include "agree/resend.h"
#include "usage/window.h"

/**
 * Inside of the agreed state, shared by apply.c, apply_admin.c and
 * snapshot.c; no one else includes it.
 */
struct agreed {
	struct settings *settings;
	struct keys *keys;
	struct claims *claims;
	struct windows *windows;
	struct order_book *orders;
	struct resends *resends;
	int64_t index;
	int64_t time_us; /**< log time: never goes back */
};

/** An entry once it is read. Text is borrowed from `body`'s owner. */
struct entry {
	struct entry_head head;
	const char *kind;
	json_t *body;
};

/** Note a change for the reducer. */
void apply_result_add_change(struct apply_result *result, enum change_kind kind,
			     const char *name, int64_t number, bool removed);

/** Operators' commands: kind "admin", and "seed". */
void agreed_apply_admin(struct agreed *agreed, const struct entry *entry,
			struct apply_result *result);
void agreed_apply_seed(struct agreed *agreed, const struct entry *entry,
		       struct apply_result *result);

/** Take over the bounds of claims from the settings. */
void agreed_set_limits(struct agreed *agreed);

#endif
