#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "fleet/backend.h"

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static bool same_kind(const struct backend *a, const struct backend *b)
{
	return !strcmp(a->model, b->model) && !strcmp(a->service, b->service);
}

/* Median time between tokens of a server's peers, 0 if fewer than three. */
static double peers_median(const struct fleet *fleet, const struct backend *of,
			   double *speeds)
{
	struct backend *peer;
	struct backend *next;
	size_t n = 0;

	map_foreach(peer, next, &fleet->backends, node)
		if (same_kind(of, peer) && peer->health.token_us > 0)
			speeds[n++] = peer->health.token_us;
	if (n < 3)
		return 0;
	qsort(speeds, n, sizeof(*speeds), compare_double);
	return speeds[n / 2];
}

/* An earlier server of the same kind has been compared already. */
static bool is_first_of_kind(const struct fleet *fleet,
			     const struct backend *of)
{
	struct backend *peer;
	struct backend *next;

	map_foreach(peer, next, &fleet->backends, node) {
		if (peer == of)
			return true;
		if (same_kind(of, peer))
			return false;
	}
	return true;
}

void fleet_compare(struct fleet *fleet)
{
	struct backend *backend;
	struct backend *next;
	struct backend *peer;
	struct backend *after;
	double *speeds;
	double median;

	speeds = xcalloc(fleet->backends.count + 1, sizeof(*speeds));
	map_foreach(backend, next, &fleet->backends, node) {
		if (!is_first_of_kind(fleet, backend))
			continue;
		median = peers_median(fleet, backend, speeds);
		map_foreach(peer, after, &fleet->backends, node)
			if (same_kind(backend, peer))
				health_compare(&peer->health, median);
	}
	free(speeds);
}
