#ifndef FILBERTHALL_AGREE_RESEND_H
#define FILBERTHALL_AGREE_RESEND_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"

/**
 * Results of operators' commands by change id: a command that is sent again
 * after a lost answer gets the first result and changes nothing. Part of the
 * agreed state, so the same after a restart or a snapshot.
 *
 * Limits: the last RESENDS_KEPT results, and RESENDS_KEEP_US of log time.
 * Operators resend within minutes; at 4,300 changes a day the count suffices
 * for almost two days.
 */
#define RESENDS_KEPT 8192
#define RESENDS_KEEP_US INT64_C(86400000000)

struct resends;

struct resends *resends_new(void);
void resends_free(struct resends *resends);

/**
 * The result kept under (operator, change id), or NULL. `*same` gets whether
 * `command` and `args` equal those of the first command.
 */
const json_t *resends_find(const struct resends *resends,
			   const char *operator_id, const char *change_id,
			   const char *command, const json_t *args, bool *same);

/** Store a result; `answer` is borrowed. */
void resends_keep(struct resends *resends, const char *operator_id,
		  const char *change_id, const char *command,
		  const json_t *args, const json_t *answer, int64_t time_us);

/** Drop results beyond the limits. */
void resends_expire(struct resends *resends, int64_t time_us);

size_t resends_count(const struct resends *resends);

json_t *resends_save(const struct resends *resends);
enum result resends_load(struct resends *resends, const json_t *saved);

#endif
