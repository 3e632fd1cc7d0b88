#include "fakes/platform.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/json.h"

#define US_PER_MS 1000

/** One call as recorded. */
struct platform_entry {
	struct list node;
	int64_t at_us;
	const char *call;
	json_t *arguments;
	int status;
};

/** A request whose handling waits, as asked for by a fault. */
struct platform_late {
	struct list node;
	struct loop_timer timer;
	struct platform *platform;
	struct exchange *exchange;
};

static void platform_late_free(struct platform_late *late)
{
	loop_timer_cancel(&late->timer);
	list_remove(&late->node);
	free(late);
}

void platform_log(struct platform *platform, const char *call,
		  json_t *arguments, int status)
{
	struct platform_entry *entry = xcalloc(1, sizeof(*entry));

	entry->at_us = loop_now_us();
	entry->call = call;
	entry->arguments = arguments ? arguments : json_null();
	entry->status = status;
	list_append(&platform->log, &entry->node);
}

void platform_answer_log(struct platform *platform, struct exchange *exchange)
{
	json_t *json = json_array();
	const struct platform_entry *entry;

	list_foreach(entry, &platform->log, node)
		json_array_append_new(
			json,
			json_pack("{s:I, s:s, s:i, s:O}", "at_ms",
				  (json_int_t)(entry->at_us -
					       platform->start_us) /
					  US_PER_MS,
				  "call", entry->call, "status", entry->status,
				  "arguments", entry->arguments));
	json_answer(exchange, 200, json);
}

typedef void (*platform_route_fn)(struct platform *platform,
				  struct exchange *exchange);

struct platform_route {
	const char *method;
	const char *path;
	platform_route_fn handle;
	bool from_daemon; /**< faults strike it */
};

static const struct platform_route platform_routes[] = {
	{ "POST", "/orders", platform_order, true },
	{ "GET", "/orders", platform_answer_orders, true },
	{ "GET", "/offers", platform_answer_offers, true },
	{ "POST", "/reports", platform_report, true },
	{ "POST", "/offer", platform_set_offer, false },
	{ "POST", "/reclaim", platform_reclaim, false },
	{ "GET", "/log", platform_answer_log, false },
};

static const struct platform_route *
platform_find(const struct exchange *exchange)
{
	size_t n = sizeof(platform_routes) / sizeof(*platform_routes);
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(platform_routes[i].method, exchange->method) &&
		    !strcmp(platform_routes[i].path, exchange->path))
			return &platform_routes[i];
	return NULL;
}

static void platform_proceed(struct platform *platform,
			     struct exchange *exchange)
{
	const struct platform_route *route = platform_find(exchange);
	const char *path = exchange->path;
	struct faults *faults = &platform->faults;

	/* The network may bring a request twice; the caller sees one answer. */
	if (faults_strike(faults, FAULT_DOUBLE, path, NULL)) {
		route->handle(platform, exchange);
		exchange_forget_answer(exchange);
	}
	route->handle(platform, exchange);
	if (faults_strike(faults, FAULT_CLOSE_AFTER_RUN, path, NULL))
		exchange_abort(exchange);
}

static void platform_late_due(void *data)
{
	struct platform_late *late = data;
	struct platform *platform = late->platform;
	struct exchange *exchange = late->exchange;

	exchange_on_over(exchange, NULL, NULL);
	platform_late_free(late);
	platform_proceed(platform, exchange);
}

static void platform_late_over(void *data, bool whole)
{
	platform_late_free(data);
}

static void platform_delay(struct platform *platform, struct exchange *exchange,
			   int64_t late_ms)
{
	struct platform_late *late = xcalloc(1, sizeof(*late));

	late->platform = platform;
	late->exchange = exchange;
	loop_timer_init(&late->timer, platform_late_due, late);
	loop_timer_set(&platform->loop, &late->timer,
		       loop_now_us() + late_ms * US_PER_MS);
	list_append(&platform->late, &late->node);
	exchange_on_over(exchange, platform_late_over, late);
}

static void platform_take(struct platform *platform, struct exchange *exchange)
{
	struct faults *faults = &platform->faults;
	const char *path = exchange->path;
	int64_t value;

	if (faults_strike(faults, FAULT_CLOSE_AFTER_READ, path, NULL))
		exchange_abort(exchange);
	else if (faults_strike(faults, FAULT_ERROR, path, &value))
		exchange_answer_json(exchange, (int)value,
				     "{\"error\": \"asked for\"}\n");
	else if (faults_strike(faults, FAULT_LATE, path, &value))
		platform_delay(platform, exchange, value);
	else
		platform_proceed(platform, exchange);
}

static void platform_handle(void *data, struct exchange *exchange)
{
	struct platform *platform = data;
	const struct platform_route *route;

	if (faults_handle(&platform->faults, exchange) ||
	    addresses_handle(&platform->daemons, exchange))
		return;
	route = platform_find(exchange);
	if (!route)
		exchange_answer_json(exchange, 404,
				     "{\"error\": \"no such path\"}\n");
	else if (route->from_daemon)
		platform_take(platform, exchange);
	else
		route->handle(platform, exchange);
}

static bool platform_add_faults(struct platform *platform)
{
	char *const *fault = platform->options->common.faults;

	for (; *fault; fault++) {
		if (!faults_add(&platform->faults, *fault)) {
			fprintf(stderr, "--fault %s: not a fault\n", *fault);
			return false;
		}
	}
	return true;
}

bool platform_start(struct platform *platform,
		    const struct platform_options *options)
{
	const struct options *common = &options->common;

	memset(platform, 0, sizeof(*platform));
	platform->options = options;
	platform->start_us = loop_now_us();
	platform->next_port = 1;
	list_init(&platform->offers);
	list_init(&platform->reclaims);
	list_init(&platform->late);
	list_init(&platform->log);
	order_book_init(&platform->orders, common->fences);
	order_book_init(&platform->reports, common->fences);
	addresses_set(&platform->daemons, common->daemons);
	faults_init(&platform->faults, &platform->server);
	post_pool_init(&platform->posts, &platform->loop);
	children_init(&platform->children, &platform->loop, options->spawn,
		      &platform->daemons);
	if (!loop_init(&platform->loop) || !platform_add_faults(platform) ||
	    !server_start(&platform->server, &platform->loop, common->listen,
			  platform_handle, platform))
		return false;
	return !common->publish ||
	       server_publish(&platform->server, common->publish);
}

void platform_run(struct platform *platform)
{
	loop_run(&platform->loop);
}

static void platform_log_clear(struct platform *platform)
{
	struct platform_entry *entry;

	while ((entry = list_first(&platform->log, struct platform_entry,
				   node))) {
		list_remove(&entry->node);
		json_decref(entry->arguments);
		free(entry);
	}
}

void platform_clear(struct platform *platform)
{
	children_clear(&platform->children);
	server_stop(&platform->server);
	post_pool_clear(&platform->posts);
	platform_zones_clear(platform);
	order_book_clear(&platform->orders);
	order_book_clear(&platform->reports);
	platform_log_clear(platform);
	addresses_clear(&platform->daemons);
	faults_clear(&platform->faults);
	loop_clear(&platform->loop);
}
