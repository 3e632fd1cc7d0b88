#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "fleet/backend.h"

/* The median of fewer servers isn't meaningful. */
#define PEERS_MIN 3

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static int compare_kind(const void *a, const void *b)
{
	const struct backend *x = *(struct backend *const *)a;
	const struct backend *y = *(struct backend *const *)b;
	int order = strcmp(x->service, y->service);

	return order ? order : strcmp(x->model, y->model);
}

/* Compare servers of one model or service with their median token time. */
static void compare_peers(struct backend *const *peers, size_t n,
			  double *speeds)
{
	double median = 0;
	size_t known = 0;
	size_t i;

	for (i = 0; i < n; i++)
		if (peers[i]->health.token_us > 0)
			speeds[known++] = peers[i]->health.token_us;
	if (known >= PEERS_MIN) {
		qsort(speeds, known, sizeof(*speeds), compare_double);
		median = speeds[known / 2];
	}
	for (i = 0; i < n; i++)
		health_update_straggler(&peers[i]->health, median);
}

void fleet_update_stragglers(struct fleet *fleet)
{
	size_t count = fleet->backends.count;
	struct backend **sorted = xcalloc(count + 1, sizeof(*sorted));
	double *speeds = xcalloc(count + 1, sizeof(*speeds));
	struct backend *backend;
	struct backend *next;
	size_t from = 0;
	size_t n = 0;
	size_t i;

	map_foreach(backend, next, &fleet->backends, node)
		sorted[n++] = backend;
	qsort(sorted, n, sizeof(*sorted), compare_kind);
	for (i = 1; i <= n; i++) {
		if (i < n && !compare_kind(&sorted[from], &sorted[i]))
			continue;
		compare_peers(&sorted[from], i - from, speeds);
		from = i;
	}
	free(sorted);
	free(speeds);
}
