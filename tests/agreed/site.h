#ifndef TESTS_AGREED_SITE_H
#define TESTS_AGREED_SITE_H

#include <jansson.h>

#include "agree/apply.h"

/** A site's agreed state, fed by entries as a log would feed it. */
struct site {
	struct agreed *agreed;
	int64_t index;
	int64_t time_us;
	struct apply_result applied; /**< of the last entry */
};

#define SITE_SECOND_US INT64_C(1000000)

/** 64 hex digits that differ by `n`. */
const char *site_hash(char hash[65], unsigned int n);

/** A site seeded with these settings (JSON) and the operator "root". */
void site_start(struct site *site, const char *values);
void site_stop(struct site *site);

/** Apply one entry built by a builder of agree/apply.h. */
enum result site_apply(struct site *site, struct bytes *entry);

/** An operator's command through admin_entry() and the log. */
enum result site_command(struct site *site, const char *operator_id,
			 const char *command, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/** Head of an entry by a member's incarnation. */
struct entry_head site_head(const struct site *site, uint64_t member,
			    uint64_t incarnation);

/** Replace the state by a new one restored from its snapshot. */
void site_restart(struct site *site);

/** Text of the last answer's "message", "" if it has none. */
const char *site_message(const struct site *site);

#endif
