#ifndef FILBERTHALL_AGREE_ADMIN_H
#define FILBERTHALL_AGREE_ADMIN_H

#include <jansson.h>
#include <stdbool.h>

#include "agree/apply.h"
#include "base/bytes.h"
#include "base/error.h"
#include "base/result.h"
#include "core/event.h"

/**
 * Operators' commands on settings and keys, so that the reducer and the command
 * line needn't know their arguments. Arguments (JSON):
 *
 *	settings-set	 path, value, [version], [change_id]
 *	settings-delete	 path, [version], [change_id]
 *	settings-apply	 values {PATH: VALUE|null}, [versions {PATH: N}],
 *			 [change_id]
 *	settings-revert	 version, [change_id]
 *	settings-get	 [path]
 *	settings-diff	 values
 *	settings-history [path], [limit]
 *	key-grant	 id, hash, ... (agree/key.h), [change_id]
 *	key-limit	 id, ..., [change_id]
 *	key-withdraw	 id, [change_id]
 *	key-list	 [organisation]
 *
 * `path` of a write may name one field of an object: path/FIELD. YAML files are
 * parsed by the command line (agree/yaml.h), not here: a parser that hangs on
 * an operator's input would hang the only thread of the reducer.
 */

/** The kind of a command. */
enum admin_kind {
	ADMIN_OTHER, /**< not a command on settings or keys */
	ADMIN_READ,  /**< read-only: any daemon answers it with admin_read() */
	ADMIN_WRITE  /**< goes through the log, see admin_entry() */
};

enum admin_kind admin_kind(const char *command);

/**
 * Check a writing command and build its entry. The operator's key is checked
 * here, and again when the entry is applied. `head->ticket` is returned in
 * struct apply_result.
 *
 * Returns RESULT_OK and appends the entry to `out`, or an error whose message
 * goes to `handler`.
 */
enum result admin_entry(const struct agreed *agreed, const char *command,
			const struct bytes *args, const struct key *key,
			const struct entry_head *head, struct bytes *out,
			const struct error_handler *handler);

/**
 * Answer a reading command from this daemon's state. Keys outside the
 * operator's subtree are omitted; all operators may read the settings.
 *
 * Returns the code, and in `answer` a new JSON object with "code" and "name".
 */
enum result admin_read(const struct agreed *agreed, const char *command,
		       const struct bytes *args, const struct key *key,
		       json_t **answer);

#endif
