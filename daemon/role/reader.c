#include "daemon/role/reader.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>

#include "base/alloc.h"

struct reader {
	struct ev_loop *ev;
	struct reader_hooks hooks;
	ev_async wake;
	pthread_t thread;
	pthread_mutex_t lock; /* guards what follows */
	pthread_cond_t more;
	struct list unread;
	struct list read;
	bool stopping;
};

static void reading_free(struct reading *reading)
{
	document_free(reading->document);
	bytes_clear(&reading->text);
	bytes_clear(&reading->message);
	free(reading);
}

static struct reading *take_first(struct list *from)
{
	struct reading *reading = list_first(from, struct reading, node);

	if (reading)
		list_remove(&reading->node);
	return reading;
}

/* The next to read, NULL to end. */
static struct reading *wait_unread(struct reader *reader)
{
	struct reading *reading = NULL;

	pthread_mutex_lock(&reader->lock);
	while (!reader->stopping && list_empty(&reader->unread))
		pthread_cond_wait(&reader->more, &reader->lock);
	if (!reader->stopping)
		reading = take_first(&reader->unread);
	pthread_mutex_unlock(&reader->lock);
	return reading;
}

static void *run(void *data)
{
	struct reader *reader = data;
	struct reading *reading;

	while ((reading = wait_unread(reader))) {
		reader->hooks.read(reader->hooks.data, reading);
		pthread_mutex_lock(&reader->lock);
		list_append(&reader->read, &reading->node);
		pthread_mutex_unlock(&reader->lock);
		ev_async_send(reader->ev, &reader->wake);
	}
	return NULL;
}

static struct reading *next_read(struct reader *reader)
{
	struct reading *reading;

	pthread_mutex_lock(&reader->lock);
	reading = take_first(&reader->read);
	pthread_mutex_unlock(&reader->lock);
	return reading;
}

static void on_wake(struct ev_loop *ev, ev_async *watcher, int events)
{
	struct reader *reader = watcher->data;
	struct reading *reading;

	while ((reading = next_read(reader))) {
		reader->hooks.done(reader->hooks.data, reading);
		reading_free(reading);
	}
}

struct reader *reader_start(struct ev_loop *ev,
			    const struct reader_hooks *hooks)
{
	struct reader *reader = xcalloc(1, sizeof(*reader));

	reader->ev = ev;
	reader->hooks = *hooks;
	list_init(&reader->unread);
	list_init(&reader->read);
	pthread_mutex_init(&reader->lock, NULL);
	pthread_cond_init(&reader->more, NULL);
	ev_async_init(&reader->wake, on_wake);
	reader->wake.data = reader;
	if (pthread_create(&reader->thread, NULL, run, reader)) {
		pthread_cond_destroy(&reader->more);
		pthread_mutex_destroy(&reader->lock);
		free(reader);
		return NULL;
	}
	ev_async_start(ev, &reader->wake);
	return reader;
}

void reader_stop(struct reader *reader)
{
	struct reading *reading;

	if (!reader)
		return;
	pthread_mutex_lock(&reader->lock);
	reader->stopping = true;
	pthread_cond_signal(&reader->more);
	pthread_mutex_unlock(&reader->lock);
	pthread_join(reader->thread, NULL);
	ev_async_stop(reader->ev, &reader->wake);
	while ((reading = take_first(&reader->unread)) ||
	       (reading = take_first(&reader->read)))
		reading_free(reading);
	pthread_cond_destroy(&reader->more);
	pthread_mutex_destroy(&reader->lock);
	free(reader);
}

static void put(struct reader *reader, struct reading *reading)
{
	pthread_mutex_lock(&reader->lock);
	list_append(&reader->unread, &reading->node);
	pthread_cond_signal(&reader->more);
	pthread_mutex_unlock(&reader->lock);
}

void reader_put(struct reader *reader, uint64_t call, struct bytes *text)
{
	struct reading *reading = xcalloc(1, sizeof(*reading));

	reading->text = *text;
	*text = (struct bytes){ 0 };
	reading->call = call;
	put(reader, reading);
}

void reader_put_version(struct reader *reader, int64_t version,
			const struct bytes *text)
{
	struct reading *reading = xcalloc(1, sizeof(*reading));

	reading->text = bytes_copy(text);
	reading->version = version;
	put(reader, reading);
}
