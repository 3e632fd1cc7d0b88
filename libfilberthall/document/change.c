#include "document/change.h"

#include <string.h>

static const struct route *find_place(const struct document *document,
				      const struct route *route)
{
	const struct route *found =
		document_route(document, route->host, route->prefix);

	return found && !strcmp(found->prefix, route->prefix) ? found : NULL;
}

static bool same_splits(const struct route *a, const struct route *b)
{
	size_t i;

	if (a->n_splits != b->n_splits)
		return false;
	for (i = 0; i < a->n_splits; i++)
		if (a->splits[i].weight != b->splits[i].weight ||
		    strcmp(a->splits[i].service, b->splits[i].service) != 0)
			return false;
	return true;
}

static bool same_regions(const struct route *a, const struct route *b)
{
	size_t i;

	if (a->n_regions != b->n_regions)
		return false;
	for (i = 0; i < a->n_regions; i++)
		if (strcmp(a->regions[i], b->regions[i]) != 0)
			return false;
	return true;
}

static void compare_routes(struct document_change *change,
			   const struct route *before, const struct route *now)
{
	change->routes_timed += before->timeout_ms != now->timeout_ms ||
				before->goal_ms != now->goal_ms ||
				before->pause_ms != now->pause_ms;
	change->routes_moved += !same_splits(before, now);
	change->routes_other +=
		before->kind != now->kind ||
		before->resumable != now->resumable ||
		before->open != now->open || before->tier != now->tier ||
		before->attempts != now->attempts || !same_regions(before, now);
}

/* Keys of `one` that `other` doesn't have. */
static int count_keys_not_in(const struct document *one,
			     const struct document *other)
{
	const struct document_organisation *holder;
	int n = 0;
	size_t i;
	size_t k;

	for (i = 0; i < one->n_organisations; i++) {
		holder = &one->organisations[i];
		for (k = 0; k < holder->n_keys; k++)
			n += !document_organisation_by_key(
				other, holder->keys[k]->text);
	}
	return n;
}

static bool same_limits(const struct document_limits *a,
			const struct document_limits *b)
{
	return a->header_bytes == b->header_bytes &&
	       a->body_bytes == b->body_bytes && a->header_ms == b->header_ms &&
	       a->idle_ms == b->idle_ms;
}

struct document_change document_compare(const struct document *before,
					const struct document *now)
{
	struct document_change change = { 0 };
	const struct route *known;
	size_t i;

	if (!before) {
		change.routes_added = (int)now->n_routes;
		return change;
	}
	for (i = 0; i < now->n_routes; i++) {
		known = find_place(before, &now->routes[i]);
		if (known)
			compare_routes(&change, known, &now->routes[i]);
		else
			change.routes_added++;
	}
	for (i = 0; i < before->n_routes; i++)
		change.routes_removed += !find_place(now, &before->routes[i]);
	change.keys_added = count_keys_not_in(now, before);
	change.keys_removed = count_keys_not_in(before, now);
	change.limits = !same_limits(&before->limits, &now->limits);
	return change;
}
