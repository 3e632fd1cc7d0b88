#include "site.h"

#include <glib.h>
#include <stdarg.h>

#include "agree/admin.h"
#include "agree/codec.h"

const char *site_hash(char hash[65], unsigned int n)
{
	g_snprintf(hash, 65, "%064x", n);
	return hash;
}

struct entry_head site_head(const struct site *site, uint64_t member,
			    uint64_t incarnation)
{
	struct entry_head head = {
		.origin = member,
		.incarnation = incarnation,
		.time_us = site->time_us,
	};

	return head;
}

enum result site_apply(struct site *site, struct bytes *entry)
{
	apply_result_clear(&site->applied);
	agreed_apply(site->agreed, entry->data, entry->len, ++site->index,
		     &site->applied);
	bytes_clear(entry);
	return site->applied.code;
}

void site_start(struct site *site, const char *values)
{
	json_t *tree = json_loads(values, 0, NULL);
	struct bytes entry = { 0 };
	struct entry_head head;
	char hash[65];

	g_assert_nonnull(tree);
	memset(site, 0, sizeof(*site));
	list_init(&site->applied.changes);
	site->agreed = agreed_new();
	site->time_us = 1000000 * SITE_SECOND_US;
	head = site_head(site, 1, 1);
	entry_seed(&entry, &head, tree, "root", site_hash(hash, 1));
	json_decref(tree);
	g_assert_cmpint(site_apply(site, &entry), ==, RESULT_OK);
}

void site_stop(struct site *site)
{
	apply_result_clear(&site->applied);
	agreed_free(site->agreed);
}

enum result site_command(struct site *site, const char *operator_id,
			 const char *command, const char *format, ...)
{
	struct entry_head head = site_head(site, 1, 1);
	struct bytes entry = { 0 };
	struct bytes args = { 0 };
	const struct key *key;
	enum result code;
	va_list list;
	char *text;

	va_start(list, format);
	text = g_strdup_vprintf(format, list);
	va_end(list);
	bytes_append_text(&args, text);
	g_free(text);
	key = keys_find_id(agreed_keys(site->agreed), operator_id);
	code = admin_entry(site->agreed, command, &args, key, &head, &entry,
			   NULL);
	bytes_clear(&args);
	return code == RESULT_OK ? site_apply(site, &entry) : code;
}

void site_restart(struct site *site)
{
	struct agreed *restored = agreed_new();
	struct bytes before = { 0 };
	struct bytes after = { 0 };

	agreed_snapshot(site->agreed, &before);
	g_assert_cmpint(agreed_restore(restored, before.data, before.len), ==,
			RESULT_OK);
	agreed_snapshot(restored, &after);
	g_assert_true(bytes_equal(&before, &after));
	bytes_clear(&before);
	bytes_clear(&after);
	agreed_free(site->agreed);
	site->agreed = restored;
}

const char *site_message(const struct site *site)
{
	return codec_text(site->applied.answer, "message", "");
}
