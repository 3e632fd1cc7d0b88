#include "fleet/missed.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Services that are kept; a site has tens, the rest is a stranger's. */
#define SERVICES_MOST 256

struct missed_service {
	struct list node;
	char name[BACKEND_NAME_SIZE];
	double ended;
	double missed;
	int64_t at_us;
};

void missed_init(struct missed *missed)
{
	list_init(&missed->services);
}

void missed_clear(struct missed *missed)
{
	struct missed_service *service;
	struct missed_service *next;

	list_foreach_safe(service, next, &missed->services, node) {
		list_remove(&service->node);
		free(service);
	}
}

static struct missed_service *find(const struct missed *missed,
				   const char *name)
{
	struct missed_service *service;

	list_foreach(service, &missed->services, node)
		if (!strcmp(service->name, name))
			return service;
	return NULL;
}

static struct missed_service *find_or_add(struct missed *missed,
					  const char *name, int64_t now_us)
{
	struct missed_service *service = find(missed, name);
	int n = 0;

	if (service)
		return service;
	list_foreach(service, &missed->services, node)
		n++;
	if (n >= SERVICES_MOST)
		return NULL;
	service = xcalloc(1, sizeof(*service));
	snprintf(service->name, sizeof(service->name), "%s", name);
	service->at_us = now_us;
	list_append(&missed->services, &service->node);
	return service;
}

static double left_of(const struct missed_service *service, int64_t now_us)
{
	return exp2(-(double)(now_us - service->at_us) /
		    (double)MISSED_HALF_US);
}

void missed_add(struct missed *missed, const struct feed_missed *told,
		int64_t now_us)
{
	struct missed_service *service =
		find_or_add(missed, told->service, now_us);
	double left;

	if (!service || told->ended < 0 || told->missed < 0 ||
	    told->missed > told->ended)
		return;
	left = left_of(service, now_us);
	service->ended = service->ended * left + (double)told->ended;
	service->missed = service->missed * left + (double)told->missed;
	service->at_us = now_us;
}

bool missed_tell(struct missed *missed, struct bytes *out)
{
	struct missed_service *service;
	struct feed_missed told;

	list_foreach(service, &missed->services, node) {
		if (service->ended < 0.5)
			continue;
		memcpy(told.service, service->name, sizeof(told.service));
		told.ended = llround(service->ended);
		told.missed = llround(service->missed);
		feed_write_missed(out, &told);
		service->ended = 0;
		service->missed = 0;
		return true;
	}
	return false;
}

bool missed_pressed(const struct missed *missed, const char *name,
		    int64_t now_us)
{
	const struct missed_service *service = find(missed, name);

	return service &&
	       service->missed * left_of(service, now_us) >= MISSED_LEAST &&
	       service->missed >= MISSED_PART * service->ended;
}
