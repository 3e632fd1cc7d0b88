#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/disk/wal_internal.h"

/** Writing of segments. */

char *wal_segment_path(const struct wal *wal, int64_t number)
{
	return xstrfmt("%s/log-%020" PRId64, wal->folder, number);
}

struct wal_segment *wal_segment_add(struct wal *wal, int64_t number)
{
	struct wal_segment *segment = xcalloc(1, sizeof(*segment));

	segment->number = number;
	list_append(&wal->segments, &segment->node);
	return segment;
}

uint64_t wal_sum(const struct wal *wal, int64_t number, int64_t offset,
		 const void *data, size_t len)
{
	uint64_t place[3] = { wal->identity.member_id, (uint64_t)number,
			      (uint64_t)offset };

	return XXH3_64bits_withSeed(data, len,
				    XXH3_64bits(place, sizeof(place)));
}

void wal_add_item(struct wal *wal, enum wal_item_kind kind, int64_t a,
		  int64_t b, const struct bytes *body)
{
	struct wal_item item = { .kind = kind, .a = a, .b = b };

	if (body)
		item.len = (uint32_t)body->len;
	if (!wal->frame.len)
		bytes_append(&wal->frame, &(struct wal_frame){ 0 },
			     sizeof(struct wal_frame));
	bytes_append(&wal->frame, &item, sizeof(item));
	if (body)
		bytes_append(&wal->frame, body->data, body->len);
}

static void wal_seal_frame(struct wal *wal)
{
	struct wal_segment *last =
		list_last(&wal->segments, struct wal_segment, node);
	struct wal_frame head = { .magic = WAL_FRAME_MAGIC };

	head.len = (uint32_t)(wal->frame.len - sizeof(head));
	head.sum = wal_sum(wal, last->number, wal->size,
			   wal->frame.data + sizeof(head), head.len);
	memcpy(wal->frame.data, &head, sizeof(head));
	if (wal->last_index > last->max_index)
		last->max_index = wal->last_index;
}

/** Write the frame that was gathered and sync it. */
enum result wal_write_frame(struct wal *wal)
{
	const struct file_ops *ops = wal->options.ops;

	if (!wal->frame.len)
		return RESULT_OK;
	wal_seal_frame(wal);
	if (!folder_write_all(ops, wal->fd, wal->frame.data, wal->frame.len))
		return folder_error(wal->options.errors, "write", wal->folder);
	/*
	 * Never tried again: after a failed sync the kernel may drop the
	 * dirty pages, and the next one would claim success for them.
	 */
	if (ops->fdatasync(ops->data, wal->fd))
		return folder_error(wal->options.errors, "sync", wal->folder);
	__atomic_fetch_add(&wal->syncs, 1, __ATOMIC_RELAXED);
	wal->size += (int64_t)wal->frame.len;
	wal->frame.len = 0;
	return RESULT_OK;
}

/**
 * Begin the next segment. It starts with the hard state, so that the ones
 * before it can go.
 */
enum result wal_new_segment(struct wal *wal)
{
	struct wal_segment *last =
		list_last(&wal->segments, struct wal_segment, node);
	int64_t number = last ? last->number + 1 : 1;
	cleanup(free_ptr) char *path = wal_segment_path(wal, number);
	const struct file_ops *ops = wal->options.ops;
	int fd = ops->open(ops->data, path, O_WRONLY | O_CREAT | O_TRUNC, 0600);

	if (fd < 0)
		return folder_error(wal->options.errors, "open", path);
	folder_close_fd(&wal->fd);
	wal->fd = fd;
	wal->size = WAL_HEADER_SIZE;
	wal_segment_add(wal, number);
	if (!folder_write_all(ops, fd, WAL_MAGIC, WAL_HEADER_SIZE))
		return folder_error(wal->options.errors, "write", path);
	if (ops->fsync(ops->data, fd))
		return folder_error(wal->options.errors, "sync", path);
	if (wal->term)
		wal_add_item(wal, WAL_HARD_STATE, wal->term, (int64_t)wal->vote,
			     NULL);
	/* else the name could be gone after a power loss, and all in it */
	return folder_sync(wal->folder, ops, wal->options.errors);
}

/** Drop the oldest segments whose entries the snapshot covers. */
void wal_drop_segments(struct wal *wal)
{
	const struct file_ops *ops = wal->options.ops;
	struct wal_segment *segment;
	struct wal_segment *next;

	list_foreach_safe(segment, next, &wal->segments, node) {
		cleanup(free_ptr) char *path =
			wal_segment_path(wal, segment->number);

		if (segment->node.next == &wal->segments ||
		    segment->max_index > wal->snapshot_index)
			return;
		if (ops->unlink(ops->data, path) && errno != ENOENT)
			return;
		list_remove(&segment->node);
		free(segment);
	}
}
