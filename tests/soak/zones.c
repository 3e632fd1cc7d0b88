#include "zones.h"

#include <stdlib.h>

#include "base/alloc.h"
#include "platform/names.h"
#include "vm.h"

#define CALL_MS 1500
#define AGAIN_MS 100
#define HOLD_MS 9000
#define PAUSE_MS 1500

struct zones {
	struct soak *soak;
	/* Of its own, so that a seed gives the faults that it gave before. */
	struct rng rng;
	struct http_client *client;
	ev_timer next;
	int zone;
	bool evacuate; /* what is ordered, or was last */
	bool settled;
	bool rests;
	int64_t acked_us;
	int status;
	int orders;
};

static void on_head(void *data, const struct http_head *head)
{
	struct zones *zones = data;

	zones->status = head->status;
}

static void on_next(struct ev_loop *ev, ev_timer *timer, int events);

static void on_end(void *data, enum result code, bool sent)
{
	struct zones *zones = data;
	int64_t wait_ms = AGAIN_MS;

	if (!code && zones->status == 200) {
		zones->settled = true;
		zones->acked_us = edge_now_us();
		zones->orders++;
		if (!zones->rests)
			wait_ms = zones->evacuate ? HOLD_MS : PAUSE_MS;
	} else if (!code && zones->status >= 400 && zones->status < 500) {
		soak_violation(zones->soak, "evacuation", "z%d got %d",
			       zones->zone, zones->status);
	}
	soak_timer(zones->soak, &zones->next, on_next, wait_ms, zones);
}

static const struct http_call_hooks hooks = { on_head, NULL, on_end };

/* A redirect is a call that got no clear answer: any VM forwards orders. */
static void send(struct zones *zones)
{
	struct soak *soak = zones->soak;
	const struct vm *vm = soak->vms[rng_below(&zones->rng, SOAK_CONTROLS)];
	struct http_call_request request = { .timeout_ms = CALL_MS };
	struct bytes head = { 0 };
	struct bytes body = { 0 };

	bytes_append_format(&head,
			    "%s %sz%d HTTP/1.1\r\nHost: c\r\nContent-Length: "
			    "0\r\nConnection: close\r\n\r\n",
			    zones->evacuate ? "POST" : "DELETE",
			    PATH_EVACUATIONS, zones->zone);
	zones->status = 0;
	request.address = vm->operators_at;
	request.head = &head;
	request.body = &body;
	http_call_start(zones->client, &request, &hooks, zones);
	bytes_clear(&head);
}

static void on_next(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct zones *zones = timer->data;

	if (zones->settled && zones->rests && !zones->evacuate)
		return;
	if (zones->settled) {
		zones->evacuate = !zones->evacuate;
		if (zones->evacuate)
			zones->zone = (int)rng_below(&zones->rng, 3);
		zones->settled = false;
	}
	send(zones);
}

int64_t zones_evacuated_us(const struct zones *zones, int zone)
{
	bool holds = zones->settled && zones->evacuate && zones->zone == zone;

	return holds ? zones->acked_us : 0;
}

bool zones_concern(const struct zones *zones, int zone)
{
	return (zones->evacuate || !zones->settled) && zones->zone == zone;
}

void zones_rest(struct zones *zones)
{
	zones->rests = true;
	if (!zones->settled)
		return;
	ev_timer_stop(zones->soak->ev, &zones->next);
	soak_timer(zones->soak, &zones->next, on_next, AGAIN_MS, zones);
}

bool zones_settled(const struct zones *zones)
{
	return zones->settled && !zones->evacuate;
}

int zones_orders(const struct zones *zones)
{
	return zones->orders;
}

struct zones *zones_new(struct soak *soak)
{
	struct http_client_options options = { NULL, 500, 2000, 0 };
	struct zones *zones = xcalloc(1, sizeof(*zones));

	zones->soak = soak;
	zones->rng.state = soak->seed + 17;
	zones->settled = true;
	zones->client = http_client_new(&soak->loop, &options);
	soak_timer(soak, &zones->next, on_next, 2 * PAUSE_MS, zones);
	return zones;
}

void zones_free(struct zones *zones)
{
	http_client_free(zones->client);
	ev_timer_stop(zones->soak->ev, &zones->next);
	free(zones);
}
