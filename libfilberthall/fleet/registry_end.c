#include "fleet/registry_end.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void registry_ends_init(struct registry_ends *ends)
{
	list_init(&ends->list);
	ends->n = 0;
}

struct registry_end *registry_ends_find(const struct registry_ends *ends,
					const char *id)
{
	struct registry_end *end;

	list_foreach(end, &ends->list, node)
		if (!strcmp(end->id, id))
			return end;
	return NULL;
}

static void remove_end(struct registry_ends *ends, struct registry_end *end)
{
	list_remove(&end->node);
	free(end);
	ends->n--;
}

void registry_ends_forget(struct registry_ends *ends, int64_t before_us)
{
	struct registry_end *end;
	struct registry_end *next;

	list_foreach_safe(end, next, &ends->list, node)
		if (end->at_us < before_us)
			remove_end(ends, end);
}

void registry_ends_keep(struct registry_ends *ends,
			const struct registry_end *end)
{
	struct registry_end *kept = registry_ends_find(ends, end->id);
	struct registry_end *oldest;

	if (kept && kept->at_us >= end->at_us)
		return;
	if (kept)
		remove_end(ends, kept);
	oldest = list_first(&ends->list, struct registry_end, node);
	if (ends->n == REGISTRY_ENDS_MOST && oldest)
		remove_end(ends, oldest);
	kept = xcalloc(1, sizeof(*kept));
	*kept = *end;
	list_append(&ends->list, &kept->node);
	ends->n++;
}
