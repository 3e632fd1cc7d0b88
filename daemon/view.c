#include "daemon/view.h"

#include <stdlib.h>
#include <urcu-bp.h>

#include "base/alloc.h"

static struct view *view_new(void)
{
	struct view *view = xcalloc(1, sizeof(*view));

	atomic_store(&view->references, 1);
	return view;
}

void view_slot_init(struct view_slot *slot)
{
	atomic_store(&slot->view, view_new());
}

void view_unref(struct view *view)
{
	if (atomic_fetch_sub(&view->references, 1) != 1)
		return;
	bytes_clear(&view->models);
	bytes_clear(&view->metrics);
	free(view);
}

void view_publish(struct view_slot *slot, const struct effect_publish *publish)
{
	struct view *view = view_new();

	view->healthy = publish->healthy;
	view->models = bytes_copy(&publish->models);
	view->metrics = bytes_copy(&publish->metrics);
	view = atomic_exchange(&slot->view, view);
	/*
	 * A reader may have fetched the old pointer and not yet taken its
	 * reference: the slot's own reference lives until all such readers
	 * have left their read side.
	 */
	synchronize_rcu();
	view_unref(view);
}

struct view *view_get(struct view_slot *slot)
{
	struct view *view;

	rcu_read_lock();
	view = atomic_load(&slot->view);
	atomic_fetch_add(&view->references, 1);
	rcu_read_unlock();
	return view;
}

void view_slot_clear(struct view_slot *slot)
{
	struct view *view = atomic_exchange(&slot->view, NULL);

	view_unref(view);
}
