#ifndef FILBERTHALL_TESTS_LOAD_BED_H
#define FILBERTHALL_TESTS_LOAD_BED_H

#include "base/alloc.h"
#include "fleet/backend.h"
#include "load/router.h"

/** One second in microseconds. */
#define SECOND INT64_C(1000000)

/**
 * Test fixture: one router with its fleet. The test takes the place of the
 * edges: it submits requests and reports how their attempts ended.
 */
struct bed {
	struct fleet fleet;
	struct router *router;
	struct effects effects;
	int64_t now_us;
	uint64_t last_id;
	int finished;
	struct router_outcome last;
};

void bed_class(struct bed *bed, const char *name, int tier);
void bed_engine(struct bed *bed, char *address, int64_t slots,
		int64_t sequence);
void bed_open_as(struct bed *bed, uint64_t self);
void bed_open_with(struct bed *bed, bool lost_answers);
void bed_open(struct bed *bed);
void bed_close(struct bed *bed);
uint64_t bed_submit(struct bed *bed, const char *class_name, bool idempotent);
struct effect *bed_effect(struct bed *bed, enum effect_kind kind);
/** Whether an attempt of the request was started, or cancelled; drops all. */
bool bed_was_sent(struct bed *bed, uint64_t id);
bool bed_was_cancelled(struct bed *bed, uint64_t id);
void bed_end(struct bed *bed, uint64_t id, int64_t attempt, enum result code,
	     bool sent);

#endif
