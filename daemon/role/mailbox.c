#include "daemon/role/mailbox.h"

#include <pthread.h>
#include <stdlib.h>

#include "base/alloc.h"

struct mailbox {
	struct ev_loop *ev;
	ev_async wake;
	pthread_mutex_t lock; /* guards the queue */
	struct list queue;
	struct edge_sink sink;
	void (*take)(void *data, struct event *event);
	void *data;
};

static void mailbox_post(void *data, struct event *event)
{
	struct mailbox *mailbox = data;

	pthread_mutex_lock(&mailbox->lock);
	list_append(&mailbox->queue, &event->node);
	pthread_mutex_unlock(&mailbox->lock);
	ev_async_send(mailbox->ev, &mailbox->wake);
}

static struct event *mailbox_next(struct mailbox *mailbox)
{
	struct event *event;

	pthread_mutex_lock(&mailbox->lock);
	event = list_first(&mailbox->queue, struct event, node);
	if (event)
		list_remove(&event->node);
	pthread_mutex_unlock(&mailbox->lock);
	return event;
}

static void on_wake(struct ev_loop *ev, ev_async *watcher, int events)
{
	struct mailbox *mailbox = watcher->data;
	struct event *event;

	while ((event = mailbox_next(mailbox)))
		mailbox->take(mailbox->data, event);
}

struct mailbox *mailbox_new(struct ev_loop *ev,
			    void (*take)(void *data, struct event *event),
			    void *data)
{
	struct mailbox *mailbox = xcalloc(1, sizeof(*mailbox));

	mailbox->ev = ev;
	mailbox->take = take;
	mailbox->data = data;
	mailbox->sink.post = mailbox_post;
	mailbox->sink.data = mailbox;
	pthread_mutex_init(&mailbox->lock, NULL);
	list_init(&mailbox->queue);
	ev_async_init(&mailbox->wake, on_wake);
	mailbox->wake.data = mailbox;
	ev_async_start(ev, &mailbox->wake);
	return mailbox;
}

void mailbox_drop(struct mailbox *mailbox)
{
	struct event *event;

	while ((event = mailbox_next(mailbox)))
		event_free(event);
}

void mailbox_free(struct mailbox *mailbox)
{
	if (!mailbox)
		return;
	ev_async_stop(mailbox->ev, &mailbox->wake);
	mailbox_drop(mailbox);
	pthread_mutex_destroy(&mailbox->lock);
	free(mailbox);
}

const struct edge_sink *mailbox_sink(struct mailbox *mailbox)
{
	return &mailbox->sink;
}
