/*
 * The first line of a recording: the core's options and saved state, so that
 * replay starts from the same state.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "core/core.h"

#define RECORDING_VERSION 1

static json_t *recording_hex(const struct bytes *bytes)
{
	struct bytes out = { 0 };
	json_t *text;
	size_t i;

	for (i = 0; i < bytes->len; i++)
		bytes_append_format(&out, "%02x",
				    (unsigned char)bytes->data[i]);
	text = json_string(bytes_text(&out));
	bytes_clear(&out);
	return text;
}

static json_t *recording_uint(uint64_t value)
{
	cleanup(free_ptr) char *text =
		xstrfmt("%llu", (unsigned long long)value);

	return json_string(text);
}

static json_t *recording_saved(const struct raft_persistent_state *saved)
{
	json_t *entries = json_array();
	size_t i;

	for (i = 0; i < saved->n_entries; i++)
		json_array_append_new(
			entries,
			json_pack("{s:I, s:I, s:o}", "index",
				  (json_int_t)saved->entries[i].index, "term",
				  (json_int_t)saved->entries[i].term, "body",
				  recording_hex(&saved->entries[i].body)));
	return json_pack("{s:I, s:o, s:I, s:I, s:o, s:o}", "term",
			 (json_int_t)saved->term, "vote",
			 recording_uint(saved->vote), "snapshot_index",
			 (json_int_t)saved->snapshot_index, "snapshot_term",
			 (json_int_t)saved->snapshot_term, "snapshot",
			 recording_hex(&saved->snapshot), "entries", entries);
}

void core_write_start(struct bytes *out, const struct core_options *options,
		      const struct raft_persistent_state *saved, int64_t now_us)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "recording", json_integer(RECORDING_VERSION));
	json_object_set_new(root, "at_us", json_integer(now_us));
	json_object_set_new(root, "self", recording_uint(options->self));
	json_object_set_new(root, "seed", recording_uint(options->seed));
	json_object_set_new(root, "incarnation",
			    json_integer(options->incarnation));
	json_object_set_new(root, "vm", json_string(options->vm));
	json_object_set_new(root, "zone", json_string(options->zone));
	json_object_set_new(root, "address", json_string(options->address));
	json_object_set_new(root, "disk", json_boolean(options->disk));
	json_object_set_new(root, "platform", json_boolean(options->platform));
	json_object_set_new(root, "bootstrap",
			    json_boolean(options->bootstrap));
	json_object_set_new(root, "seed_values",
			    recording_hex(&options->seed_values));
	if (options->seed_key_hash)
		json_object_set_new(root, "seed_key_hash",
				    json_string(options->seed_key_hash));
	json_object_set_new(root, "saved", recording_saved(saved));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	bytes_append_text(out, text ? text : "{}");
	bytes_append_text(out, "\n");
	free(text);
}

static bool recording_read_hex(struct bytes *bytes, const json_t *value)
{
	const char *text = json_string_value(value);
	char pair[3] = { 0 };
	char *end;

	for (; text && *text; text += 2) {
		char byte;

		if (!text[1])
			return false;
		pair[0] = text[0];
		pair[1] = text[1];
		byte = (char)strtol(pair, &end, 16);
		if (*end)
			return false;
		bytes_append(bytes, &byte, 1);
	}
	return text;
}

static uint64_t recording_read_uint(const json_t *root, const char *key)
{
	const char *text = json_string_value(json_object_get(root, key));

	return text ? strtoull(text, NULL, 10) : 0;
}

static int64_t recording_read_int(const json_t *root, const char *key)
{
	return json_integer_value(json_object_get(root, key));
}

static bool recording_read_saved(struct raft_persistent_state *saved,
				 const json_t *root)
{
	const json_t *entries = json_object_get(root, "entries");
	json_t *row;
	size_t i;

	saved->term = recording_read_int(root, "term");
	saved->vote = recording_read_uint(root, "vote");
	saved->snapshot_index = recording_read_int(root, "snapshot_index");
	saved->snapshot_term = recording_read_int(root, "snapshot_term");
	saved->n_entries = json_array_size(entries);
	saved->entries = xcalloc(saved->n_entries, sizeof(*saved->entries));
	json_array_foreach(entries, i, row) {
		saved->entries[i].index = recording_read_int(row, "index");
		saved->entries[i].term = recording_read_int(row, "term");
		if (!recording_read_hex(&saved->entries[i].body,
					json_object_get(row, "body")))
			return false;
	}
	return recording_read_hex(&saved->snapshot,
				  json_object_get(root, "snapshot"));
}

static bool recording_read_options(struct core_options *options,
				   const json_t *root)
{
	options->self = recording_read_uint(root, "self");
	options->seed = recording_read_uint(root, "seed");
	options->incarnation = recording_read_int(root, "incarnation");
	options->vm = json_string_value(json_object_get(root, "vm"));
	options->zone = json_string_value(json_object_get(root, "zone"));
	options->address = json_string_value(json_object_get(root, "address"));
	options->disk = json_is_true(json_object_get(root, "disk"));
	options->platform = json_is_true(json_object_get(root, "platform"));
	options->bootstrap = json_is_true(json_object_get(root, "bootstrap"));
	options->seed_key_hash =
		json_string_value(json_object_get(root, "seed_key_hash"));
	return recording_read_int(root, "recording") == RECORDING_VERSION &&
	       options->self && options->vm && options->zone &&
	       options->address &&
	       recording_read_hex(&options->seed_values,
				  json_object_get(root, "seed_values"));
}

enum result core_read_start(struct core **core, const char *line, size_t len,
			    struct effects *effects,
			    const struct error_handler *handler)
{
	json_t *root = json_loadb(line, len, 0, NULL);
	struct core_options options = { 0 };
	struct raft_persistent_state saved = { 0 };
	enum result code;

	if (recording_read_options(&options, root) &&
	    recording_read_saved(&saved, json_object_get(root, "saved")))
		code = core_new(core, &options, &saved,
				recording_read_int(root, "at_us"), effects);
	else
		code = error_report(handler, RESULT_MESSAGE_MALFORMED,
				    "line 1: not the start of a recording of "
				    "version %d",
				    RECORDING_VERSION);
	raft_persistent_state_clear(&saved);
	bytes_clear(&options.seed_values);
	json_decref(root);
	return code;
}
