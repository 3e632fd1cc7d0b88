#include "daemon/disk/snapshot.h"

#include <dirent.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/map.h"
#include "daemon/disk/folder.h"

#define SNAPSHOT_MAGIC UINT64_C(0x31736e6662686c31)
#define SNAPSHOT_PREFIX "snapshot-"

/** Head of a snapshot file; the body follows. */
struct snapshot_header {
	uint64_t magic;
	int64_t index;
	int64_t term;
	uint64_t len;
	uint64_t body_sum;
	uint64_t header_sum; /**< of all fields above */
};

static uint64_t snapshot_header_sum(const struct snapshot_header *header)
{
	return map_hash(header, offsetof(struct snapshot_header, header_sum));
}

/** Index in a snapshot's file name, 0 if it isn't one. */
static int64_t snapshot_name_index(const char *name)
{
	size_t prefix = strlen(SNAPSHOT_PREFIX);
	char *end;
	int64_t index;

	if (strncmp(name, SNAPSHOT_PREFIX, prefix) != 0)
		return 0;
	index = strtoll(name + prefix, &end, 10);
	return *end || index < 0 ? 0 : index;
}

static void snapshot_close_dir(DIR **dir)
{
	if (*dir)
		closedir(*dir);
}

/** Remove those before `index`; a remnant does no harm. */
static void snapshot_remove_older(const char *folder, int64_t index,
				  const struct file_ops *ops)
{
	cleanup(snapshot_close_dir) DIR *dir = opendir(folder);
	struct dirent *entry;

	while (dir && (entry = readdir(dir))) {
		int64_t found = snapshot_name_index(entry->d_name);

		if (found && found < index) {
			cleanup(free_ptr) char *path =
				xstrfmt("%s/%s", folder, entry->d_name);

			ops->unlink(ops->data, path);
		}
	}
}

enum result snapshot_save(const char *folder, const struct snapshot *snapshot,
			  const struct file_ops *ops,
			  const struct error_handler *errors)
{
	cleanup(free_ptr) char *name =
		xstrfmt(SNAPSHOT_PREFIX "%020" PRId64, snapshot->index);
	struct snapshot_header header = {
		.magic = SNAPSHOT_MAGIC,
		.index = snapshot->index,
		.term = snapshot->term,
		.len = snapshot->body.len,
		.body_sum = map_hash(snapshot->body.data, snapshot->body.len),
	};
	struct bytes content = { 0 };
	enum result code;

	header.header_sum = snapshot_header_sum(&header);
	bytes_append(&content, &header, sizeof(header));
	bytes_append(&content, snapshot->body.data, snapshot->body.len);
	code = folder_replace(folder, name, content.data, content.len, ops,
			      errors);
	bytes_clear(&content);
	if (code == RESULT_OK)
		snapshot_remove_older(folder, snapshot->index, ops);
	return code;
}

static int64_t snapshot_newest(const char *folder)
{
	cleanup(snapshot_close_dir) DIR *dir = opendir(folder);
	struct dirent *entry;
	int64_t newest = 0;

	while (dir && (entry = readdir(dir))) {
		int64_t found = snapshot_name_index(entry->d_name);

		if (found > newest)
			newest = found;
	}
	return newest;
}

static bool snapshot_read(FILE *file, struct snapshot *snapshot)
{
	struct snapshot_header header;
	char piece[65536];
	size_t got;

	if (fread(&header, sizeof(header), 1, file) != 1 ||
	    header.magic != SNAPSHOT_MAGIC ||
	    header.header_sum != snapshot_header_sum(&header))
		return false;
	while ((got = fread(piece, 1, sizeof(piece), file)) > 0)
		bytes_append(&snapshot->body, piece, got);
	snapshot->index = header.index;
	snapshot->term = header.term;
	return snapshot->body.len == header.len &&
	       map_hash(snapshot->body.data, snapshot->body.len) ==
		       header.body_sum;
}

enum result snapshot_load(const char *folder, struct snapshot *snapshot,
			  const struct error_handler *errors)
{
	int64_t newest = snapshot_newest(folder);
	cleanup(free_ptr) char *path =
		xstrfmt("%s/" SNAPSHOT_PREFIX "%020" PRId64, folder, newest);
	FILE *file;
	bool ok;

	memset(snapshot, 0, sizeof(*snapshot));
	if (!newest)
		return RESULT_OK;
	file = fopen(path, "re");
	if (!file)
		return folder_error(errors, "open", path);
	ok = snapshot_read(file, snapshot) && snapshot->index == newest;
	fclose(file);
	if (ok)
		return RESULT_OK;
	bytes_clear(&snapshot->body);
	return error_report(errors, RESULT_LOG_DAMAGED,
			    "%s: the snapshot is damaged; empty the data "
			    "folder to join as a new member",
			    path);
}
