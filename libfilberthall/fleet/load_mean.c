#include "fleet/load_mean.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Reports lose half of their weight in this time. */
#define HALF_LIFE_US 2000000.0

/* Weight of the assumption that servers are idle, in reports. */
#define IDLE_WEIGHT 0.1

/* Many reports a second aren't believed for longer than few. */
#define WEIGHT_MOST 8.0

struct load_mean {
	struct map_node node; /* by service */
	char *service;
	double sum; /* of parts of slots in use, by weight */
	double weight;
	int64_t at_us;
};

static bool is_service(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct load_mean, node)->service,
		       key);
}

static struct load_mean *find(const struct load_means *means,
			      const char *service)
{
	struct map_node *node =
		map_find(&means->by_service, map_hash_text(service), is_service,
			 service);

	return node ? container_of(node, struct load_mean, node) : NULL;
}

static struct load_mean *get(struct load_means *means, const char *service)
{
	struct load_mean *mean = find(means, service);

	if (mean)
		return mean;
	mean = xcalloc(1, sizeof(*mean));
	mean->service = xstrdup(service);
	map_insert(&means->by_service, &mean->node, map_hash_text(service));
	return mean;
}

static double kept(const struct load_mean *mean, int64_t now_us)
{
	return exp2(-(double)(now_us - mean->at_us) / HALF_LIFE_US);
}

void load_means_init(struct load_means *means)
{
	map_init(&means->by_service);
}

void load_means_clear(struct load_means *means)
{
	struct load_mean *mean;
	struct load_mean *next;

	map_foreach(mean, next, &means->by_service, node) {
		map_remove(&means->by_service, &mean->node);
		free(mean->service);
		free(mean);
	}
	map_clear(&means->by_service);
}

void load_means_add(struct load_means *means, const char *service, int64_t load,
		    int64_t slots, int64_t now_us)
{
	struct load_mean *mean = get(means, service);
	double part = kept(mean, now_us);

	if (slots <= 0)
		return;
	if (mean->weight * part > WEIGHT_MOST - 1)
		part = (WEIGHT_MOST - 1) / mean->weight;
	mean->sum = mean->sum * part + fmin(1, (double)load / (double)slots);
	mean->weight = mean->weight * part + 1;
	mean->at_us = now_us;
}

double load_means_expect(const struct load_means *means, const char *service,
			 int64_t now_us)
{
	const struct load_mean *mean = find(means, service);
	double part;

	if (!mean)
		return 0;
	part = kept(mean, now_us);
	return mean->sum * part / (mean->weight * part + IDLE_WEIGHT);
}
