#include <stdint.h>
#include <stdlib.h>

#include "agree/apply.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* A site with an operator and a team, so that commands find something. */
static void seed(struct agreed *agreed)
{
	static const char hash[] = "0000000000000000000000000000000000000000"
				   "000000000000000000000001";
	struct entry_head head = { .origin = 1, .time_us = 1 };
	struct bytes entry = { 0 };
	struct apply_result applied;
	json_t *values = json_pack("{s:{s:i} s:{}}", "team/t/class/c", "tier",
				   0, "team/t/organisation/o");

	entry_seed(&entry, &head, values, "root", hash);
	agreed_apply(agreed, entry.data, entry.len, 1, &applied);
	if (applied.code != RESULT_OK)
		abort();
	apply_result_clear(&applied);
	bytes_clear(&entry);
	json_decref(values);
}

/*
 * An entry of the log, and the same bytes as a snapshot. Whatever an entry
 * does, the state that it leaves must come back from its snapshot the same.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct agreed *agreed = agreed_new();
	struct agreed *restored = agreed_new();
	struct apply_result applied;
	struct bytes before = { 0 };
	struct bytes after = { 0 };

	seed(agreed);
	agreed_apply(agreed, data, len, 2, &applied);
	apply_result_clear(&applied);
	agreed_apply(agreed, data, len, 3, &applied);
	apply_result_clear(&applied);
	agreed_snapshot(agreed, &before);
	if (agreed_restore(restored, before.data, before.len) != RESULT_OK)
		abort();
	agreed_snapshot(restored, &after);
	if (!bytes_equal(&before, &after))
		abort();
	agreed_restore(restored, data, len);
	bytes_clear(&before);
	bytes_clear(&after);
	agreed_free(agreed);
	agreed_free(restored);
	return 0;
}
