#include "daemon/disk/wal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/disk/snapshot.h"
#include "daemon/disk/wal_internal.h"

#define WAL_SEGMENT_BYTES (INT64_C(16) * 1024 * 1024)

struct wal_options wal_default_options(void)
{
	struct wal_options options = {
		.segment_bytes = WAL_SEGMENT_BYTES,
		.ops = file_ops_system(),
	};

	return options;
}

uint64_t wal_member_id(const struct wal *wal)
{
	return wal->identity.member_id;
}

int64_t wal_incarnation(const struct wal *wal)
{
	return wal->identity.incarnation;
}

int64_t wal_syncs(const struct wal *wal)
{
	return __atomic_load_n(&wal->syncs, __ATOMIC_RELAXED);
}

static void wal_free(struct wal *wal)
{
	struct wal_segment *segment;
	struct wal_segment *next;
	struct effect *effect;

	while ((effect = list_first(&wal->queue, struct effect, node))) {
		list_remove(&effect->node);
		effect_free(effect);
	}
	list_foreach_safe(segment, next, &wal->segments, node)
		free(segment);
	folder_close_fd(&wal->fd);
	folder_close_fd(&wal->lock_fd);
	bytes_clear(&wal->frame);
	pthread_cond_destroy(&wal->wake);
	pthread_mutex_destroy(&wal->mutex);
	free(wal->folder);
	free(wal);
}

static enum result wal_open_last(struct wal *wal)
{
	struct wal_segment *last =
		list_last(&wal->segments, struct wal_segment, node);
	const struct file_ops *ops = wal->options.ops;
	cleanup(free_ptr) char *path = NULL;

	if (!last)
		return wal_new_segment(wal);
	path = wal_segment_path(wal, last->number);
	wal->fd = ops->open(ops->data, path, O_WRONLY | O_APPEND, 0);
	if (wal->fd < 0)
		return folder_error(wal->options.errors, "open", path);
	if (wal->size >= WAL_HEADER_SIZE)
		return RESULT_OK;
	/* a crash came before its header was synced: make it anew */
	list_remove(&last->node);
	free(last);
	return wal_new_segment(wal);
}

static enum result wal_identify(struct wal *wal)
{
	if (!wal->identity.member_id)
		wal->identity.member_id = folder_random_id();
	wal->identity.incarnation++;
	return folder_save_identity(wal->folder, &wal->identity,
				    wal->options.ops, wal->options.errors);
}

static struct wal *wal_new(const struct wal_options *options)
{
	struct wal *wal = xcalloc(1, sizeof(*wal));

	wal->options = *options;
	wal->folder = xstrdup(options->folder);
	wal->fd = -1;
	wal->lock_fd = -1;
	list_init(&wal->segments);
	list_init(&wal->queue);
	pthread_mutex_init(&wal->mutex, NULL);
	pthread_cond_init(&wal->wake, NULL);
	return wal;
}

enum result wal_open(const struct wal_options *options,
		     struct raft_persistent_state *saved, struct wal **out)
{
	struct wal *wal = wal_new(options);
	enum result code;

	memset(saved, 0, sizeof(*saved));
	*out = NULL;
	if (mkdir(options->folder, 0700) && errno != EEXIST) {
		code = folder_error(options->errors, "create", options->folder);
		goto fail;
	}
	code = folder_lock(options->folder, options->ops, options->errors,
			   &wal->lock_fd);
	if (code != RESULT_OK)
		goto fail;
	code = folder_load_identity(options->folder, &wal->identity,
				    options->errors);
	if (code != RESULT_OK)
		goto fail;
	code = wal_replay(wal, saved);
	if (code != RESULT_OK)
		goto fail;
	code = wal_open_last(wal);
	if (code != RESULT_OK)
		goto fail;
	code = wal_identify(wal);
	if (code != RESULT_OK)
		goto fail;
	*out = wal;
	return RESULT_OK;
fail:
	wal_free(wal);
	raft_persistent_state_clear(saved);
	return code;
}

static enum result wal_take_snapshot(struct wal *wal, struct effect *effect)
{
	struct snapshot snapshot = {
		.index = effect->u.snapshot.index,
		.term = effect->u.snapshot.term,
		.body = effect->u.snapshot.body,
	};
	enum result code = wal_write_frame(wal);

	if (code == RESULT_OK)
		code = snapshot_save(wal->folder, &snapshot, wal->options.ops,
				     wal->options.errors);
	if (code != RESULT_OK)
		return code;
	wal->snapshot_index = snapshot.index;
	wal_drop_segments(wal);
	return RESULT_OK;
}

/** A frame holds at most so much, so that a reader can bound it. */
static enum result wal_make_room(struct wal *wal, size_t len)
{
	if (wal->frame.len + len + sizeof(struct wal_item) < WAL_MAX_FRAME)
		return RESULT_OK;
	return wal_write_frame(wal);
}

static enum result wal_take(struct wal *wal, struct effect *effect,
			    int64_t *ticket)
{
	enum result code = RESULT_OK;

	switch (effect->kind) {
	case EFFECT_LOG_APPEND:
		code = wal_make_room(wal, effect->u.log_append.body.len);
		wal->last_index = effect->u.log_append.index;
		wal_add_item(wal, WAL_APPEND, effect->u.log_append.index,
			     effect->u.log_append.term,
			     &effect->u.log_append.body);
		break;
	case EFFECT_LOG_TRUNCATE:
		wal_add_item(wal, WAL_TRUNCATE, effect->u.log_truncate.index, 0,
			     NULL);
		break;
	case EFFECT_HARD_STATE:
		wal->term = effect->u.hard_state.term;
		wal->vote = effect->u.hard_state.vote;
		wal_add_item(wal, WAL_HARD_STATE, wal->term, (int64_t)wal->vote,
			     NULL);
		break;
	case EFFECT_SNAPSHOT:
		code = wal_take_snapshot(wal, effect);
		break;
	case EFFECT_LOG_SYNC:
		*ticket = effect->u.log_sync.ticket;
		break;
	default:
		break;
	}
	return code;
}

static enum result wal_write_batch(struct wal *wal, struct list *batch,
				   int64_t *ticket)
{
	enum result code = RESULT_OK;
	struct effect *effect;

	while ((effect = list_first(batch, struct effect, node))) {
		list_remove(&effect->node);
		if (code == RESULT_OK)
			code = wal_take(wal, effect, ticket);
		effect_free(effect);
	}
	if (code == RESULT_OK)
		code = wal_write_frame(wal);
	if (code == RESULT_OK && wal->size >= wal->options.segment_bytes)
		code = wal_new_segment(wal);
	return code;
}

/** Move what is queued to `batch`; under the mutex. */
static void wal_grab(struct wal *wal, struct list *batch)
{
	list_init(batch);
	if (list_empty(&wal->queue))
		return;
	batch->next = wal->queue.next;
	batch->prev = wal->queue.prev;
	batch->next->prev = batch;
	batch->prev->next = batch;
	list_init(&wal->queue);
}

static void wal_discard(struct list *batch)
{
	struct effect *effect;

	while ((effect = list_first(batch, struct effect, node))) {
		list_remove(&effect->node);
		effect_free(effect);
	}
}

static void wal_serve(struct wal *wal, struct list *batch)
{
	int64_t ticket = 0;
	enum result code;

	if (wal->failed) {
		wal_discard(batch);
		return;
	}
	code = wal_write_batch(wal, batch, &ticket);
	if (code == RESULT_OK) {
		if (ticket)
			wal->options.synced(wal->options.data, ticket);
		return;
	}
	wal->failed = true;
	wal->options.failed(wal->options.data, code, result_text(code));
}

void wal_flush(struct wal *wal)
{
	struct list batch;

	pthread_mutex_lock(&wal->mutex);
	wal_grab(wal, &batch);
	pthread_mutex_unlock(&wal->mutex);
	if (!list_empty(&batch))
		wal_serve(wal, &batch);
}

static void *wal_run(void *data)
{
	struct wal *wal = data;
	bool stopping = false;

	while (!stopping) {
		struct list batch;

		pthread_mutex_lock(&wal->mutex);
		while (list_empty(&wal->queue) && !wal->stopping)
			pthread_cond_wait(&wal->wake, &wal->mutex);
		wal_grab(wal, &batch);
		stopping = wal->stopping;
		pthread_mutex_unlock(&wal->mutex);
		if (!list_empty(&batch))
			wal_serve(wal, &batch);
	}
	return NULL;
}

enum result wal_start(struct wal *wal)
{
	int error = pthread_create(&wal->thread, NULL, wal_run, wal);

	if (error)
		return error_report(wal->options.errors, RESULT_DISK_FAILED,
				    "disk thread: %s", strerror(error));
	wal->running = true;
	return RESULT_OK;
}

void wal_put(struct wal *wal, struct effect *effect)
{
	pthread_mutex_lock(&wal->mutex);
	list_append(&wal->queue, &effect->node);
	pthread_cond_signal(&wal->wake);
	pthread_mutex_unlock(&wal->mutex);
}

void wal_close(struct wal *wal)
{
	if (!wal)
		return;
	if (wal->running) {
		pthread_mutex_lock(&wal->mutex);
		wal->stopping = true;
		pthread_cond_signal(&wal->wake);
		pthread_mutex_unlock(&wal->mutex);
		pthread_join(wal->thread, NULL);
	} else {
		wal_flush(wal);
	}
	wal_free(wal);
}
