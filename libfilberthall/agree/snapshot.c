#include <string.h>

#include "agree/agreed.h"
#include "agree/codec.h"

#define SNAPSHOT_VERSION 1

void agreed_snapshot(const struct agreed *agreed, struct bytes *out)
{
	json_t *saved =
		json_pack("{si sI sI so so so so so so}", "v", SNAPSHOT_VERSION,
			  "index", (json_int_t)agreed->index, "time_us",
			  (json_int_t)agreed->time_us, "settings",
			  settings_save(agreed->settings), "keys",
			  keys_save(agreed->keys), "claims",
			  claims_save(agreed->claims), "windows",
			  windows_save(agreed->windows), "orders",
			  order_book_save(agreed->orders), "resends",
			  resends_save(agreed->resends));

	codec_encode(saved, out);
	json_decref(saved);
	claims_save_chunks(agreed->claims, out);
}

static bool snapshot_load(struct agreed *agreed, json_t *saved)
{
	json_t *settings;
	json_t *keys;
	json_t *claims;
	json_t *windows;
	json_t *orders;
	json_t *resends;
	json_int_t index;
	json_int_t time_us;
	int version;

	if (json_unpack(saved, "{si sI sI so so so so so so}", "v", &version,
			"index", &index, "time_us", &time_us, "settings",
			&settings, "keys", &keys, "claims", &claims, "windows",
			&windows, "orders", &orders, "resends", &resends) < 0 ||
	    version != SNAPSHOT_VERSION)
		return false;
	agreed->index = index;
	agreed->time_us = time_us;
	return settings_load(agreed->settings, settings) == RESULT_OK &&
	       keys_load(agreed->keys, keys) == RESULT_OK &&
	       claims_load(agreed->claims, claims) == RESULT_OK &&
	       windows_load(agreed->windows, windows) == RESULT_OK &&
	       order_book_load(agreed->orders, orders) == RESULT_OK &&
	       resends_load(agreed->resends, resends) == RESULT_OK;
}

/*
 * Load the claims that follow the rest of the state; their number must be as
 * stated, with nothing after them.
 */
static bool snapshot_load_claims(struct agreed *agreed, const json_t *saved,
				 const void *snapshot, size_t len, size_t at)
{
	int64_t wanted =
		codec_int(json_object_get(saved, "claims"), "claims", -1);

	while (at < len) {
		json_t *chunk = codec_decode_next(snapshot, len, &at);
		enum result code = RESULT_MESSAGE_MALFORMED;

		if (json_is_array(chunk))
			code = claims_load_chunk(agreed->claims, chunk);
		json_decref(chunk);
		if (code != RESULT_OK)
			return false;
	}
	return (int64_t)claims_count(agreed->claims) == wanted;
}

/*
 * The snapshot is loaded into a new state, which replaces the current one only
 * if it is complete: a damaged snapshot changes nothing.
 */
enum result agreed_restore(struct agreed *agreed, const void *snapshot,
			   size_t len)
{
	struct agreed *loaded = agreed_new();
	struct agreed swap;
	size_t at = 0;
	json_t *saved = codec_decode_next(snapshot, len, &at);
	bool whole = saved && snapshot_load(loaded, saved) &&
		     snapshot_load_claims(loaded, saved, snapshot, len, at);

	json_decref(saved);
	if (whole) {
		swap = *agreed;
		*agreed = *loaded;
		*loaded = swap;
		agreed_set_limits(agreed);
	}
	agreed_free(loaded);
	return whole ? RESULT_OK : RESULT_MESSAGE_MALFORMED;
}
