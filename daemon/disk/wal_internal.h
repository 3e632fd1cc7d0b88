#ifndef FILBERTHALL_DAEMON_WAL_INTERNAL_H
#define FILBERTHALL_DAEMON_WAL_INTERNAL_H

#include <pthread.h>

#include "base/list.h"
#include "daemon/disk/folder.h"
#include "daemon/disk/wal.h"

/**
 * A segment is a header and frames. A frame is one batch: it is written by
 * one call and synced before the next one is begun, so a frame that is valid
 * behind one that isn't proves that the invalid one had been synced. Checksums
 * are seeded with the member's id and the frame's place, so that nobody who
 * chooses an entry's text can make a piece of it look like a frame.
 */
#define WAL_MAGIC "fbhwal1\n"
#define WAL_HEADER_SIZE 8
#define WAL_FRAME_MAGIC UINT32_C(0x7266a11b)
#define WAL_MAX_FRAME (UINT32_C(64) * 1024 * 1024)

struct wal_frame {
	uint32_t magic;
	uint32_t len;
	uint64_t sum;
};

enum wal_item_kind { WAL_APPEND = 1, WAL_TRUNCATE, WAL_HARD_STATE };

/** Head of an item in a frame; the body follows. */
struct wal_item {
	uint32_t kind;
	uint32_t len;
	int64_t a; /**< index, or term of a hard state */
	int64_t b; /**< term, or vote of a hard state */
};

struct wal_segment {
	struct list node;
	int64_t number;
	int64_t max_index; /**< highest index of its entries */
};

struct wal {
	struct wal_options options;
	char *folder;
	int lock_fd;
	struct folder_identity identity;

	/* the disk thread's */
	int fd; /**< of the last segment, -1 if not open */
	int64_t size;
	int64_t last_index;
	int64_t term;
	uint64_t vote;
	int64_t snapshot_index;
	struct list segments; /**< in order of their numbers */
	struct bytes frame;
	bool failed;
	int64_t syncs;

	/* shared, under the mutex */
	pthread_mutex_t mutex;
	pthread_cond_t wake;
	struct list queue; /**< effects to be written */
	bool stopping;
	bool running;
	pthread_t thread;
};

/* wal_segment.c */
char *wal_segment_path(const struct wal *wal, int64_t number);
struct wal_segment *wal_segment_add(struct wal *wal, int64_t number);
uint64_t wal_sum(const struct wal *wal, int64_t number, int64_t offset,
		 const void *data, size_t len);
void wal_add_item(struct wal *wal, enum wal_item_kind kind, int64_t a,
		  int64_t b, const struct bytes *body);
enum result wal_new_segment(struct wal *wal);
enum result wal_write_frame(struct wal *wal);
void wal_drop_segments(struct wal *wal);

/* wal_replay.c */
enum result wal_replay(struct wal *wal, struct raft_persistent_state *saved);

#endif
