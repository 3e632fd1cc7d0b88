#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/json.h"
#include "fakes/platform.h"

#define KIND_CHEAP "cheap"

static bool platform_is_available(const struct platform *platform,
				  const char *zone, bool cheap)
{
	const struct platform_offer *offer;

	list_foreach(offer, &platform->offers, node)
		if (offer->cheap == cheap && !strcmp(offer->zone, zone))
			return offer->available;
	return true;
}

static void platform_offer_json(const struct platform *platform, json_t *json,
				const char *zone, bool cheap)
{
	const struct platform_options *options = platform->options;

	json_array_append_new(
		json,
		json_pack("{s:s, s:s, s:f, s:b}", "zone", zone, "kind",
			  cheap ? KIND_CHEAP : "steady", "price_per_hour",
			  cheap ? options->cheap_price : options->steady_price,
			  "available",
			  (int)platform_is_available(platform, zone, cheap)));
}

void platform_answer_offers(struct platform *platform,
			    struct exchange *exchange)
{
	char *const *zone = platform->options->zones;
	json_t *json = json_array();

	for (; *zone; zone++) {
		platform_offer_json(platform, json, *zone, false);
		platform_offer_json(platform, json, *zone, true);
	}
	json_answer(exchange, 200, json);
}

void platform_set_offer(struct platform *platform, struct exchange *exchange)
{
	cleanup(json_free) json_t *json = json_body(exchange);
	const char *zone = json_text(json, "zone");
	const char *kind = json_text(json, "kind");
	struct platform_offer *offer;

	if (!zone || !kind) {
		exchange_answer_json(exchange, 400,
				     "{\"error\": \"zone and kind\"}\n");
		return;
	}
	offer = xcalloc(1, sizeof(*offer));
	offer->zone = xstrdup(zone);
	offer->cheap = !strcmp(kind, KIND_CHEAP);
	offer->available = json_is_true(json_object_get(json, "available"));
	/* The first one found holds. */
	list_prepend(&platform->offers, &offer->node);
	exchange_answer_json(exchange, 200, "{\"state\": \"done\"}\n");
}

/* Stopped if a stop order came for it or its process ended. */
static const char *platform_state(const struct platform *platform,
				  const struct order *order)
{
	const char *address = json_text(order->arguments, "address");
	const struct order *other;

	if (order->status != 202)
		return "unavailable";
	if (strcmp(json_text(order->arguments, "verb"), "start"))
		return "accepted";
	if (platform->options->spawn)
		return children_has(&platform->children, address) ? "running"
								  : "stopped";
	list_foreach(other, &platform->orders.orders, node)
		if (!strcmp(json_text(other->arguments, "verb"), "stop") &&
		    !strcmp(json_text(other->arguments, "address"), address))
			return "stopped";
	return "running";
}

void platform_answer_orders(struct platform *platform,
			    struct exchange *exchange)
{
	json_t *json = json_array();
	const struct order *order;

	list_foreach(order, &platform->orders.orders, node) {
		json_t *row = json_copy(order->arguments);

		json_object_set_new(row, "state",
				    json_string(
					    platform_state(platform, order)));
		json_array_append_new(json, row);
	}
	json_answer(exchange, 200, json);
}

static char *platform_start_backend(struct platform *platform,
				    const json_t *arguments)
{
	const char *kind = json_text(arguments, "kind");
	cleanup(free_ptr) char *address = NULL;
	struct child_request request = {
		.zone = json_text(arguments, "zone"),
		.model = json_text(arguments, "model"),
		.service = json_text(arguments, "service"),
		.cheap = !strcmp(kind, KIND_CHEAP),
	};

	if (!platform_is_available(platform, request.zone, request.cheap))
		return NULL;
	if (!platform->options->spawn)
		return xstrfmt("127.0.0.1:%d", (int)platform->next_port++);
	address = children_pick_address();
	request.address = address;
	if (!children_start(&platform->children, &request))
		return NULL;
	return take_ptr(address);
}

static bool platform_order_is_whole(const json_t *arguments)
{
	const char *verb = json_text(arguments, "verb");

	if (!json_text(arguments, "order_id") || !verb ||
	    !json_is_integer(json_object_get(arguments, "fence")))
		return false;
	if (!strcmp(verb, "stop"))
		return json_text(arguments, "address") != NULL;
	return !strcmp(verb, "start") && json_text(arguments, "zone") &&
	       json_text(arguments, "kind") &&
	       (json_text(arguments, "model") ||
		json_text(arguments, "service"));
}

static struct order *platform_carry_out(struct platform *platform,
					json_t *arguments)
{
	const char *id = json_text(arguments, "order_id");
	int64_t fence = json_int(arguments, "fence");
	cleanup(free_ptr) char *address = NULL;
	struct order *order;

	if (!strcmp(json_text(arguments, "verb"), "stop")) {
		address = xstrdup(json_text(arguments, "address"));
		children_stop(&platform->children, address);
	} else {
		address = platform_start_backend(platform, arguments);
	}
	if (!address)
		return order_book_keep(&platform->orders, id, fence, 503,
				       json_pack("{s:s, s:s}", "order_id", id,
						 "state", "unavailable"),
				       json_deep_copy(arguments));
	order = order_book_keep(&platform->orders, id, fence, 202,
				json_pack("{s:s, s:s, s:s}", "order_id", id,
					  "state", "accepted", "address",
					  address),
				json_deep_copy(arguments));
	json_object_set_new(order->arguments, "address", json_string(address));
	return order;
}

void platform_order(struct platform *platform, struct exchange *exchange)
{
	json_t *arguments = json_body(exchange);
	struct order *order;
	int status = 400;

	if (!platform_order_is_whole(arguments)) {
		exchange_answer_json(exchange, status,
				     "{\"error\": \"not an order\"}\n");
		platform_log(platform, "order", arguments, status);
		return;
	}
	order = order_book_find(&platform->orders,
				json_text(arguments, "order_id"));
	if (!order && order_book_is_old(&platform->orders,
					json_int(arguments, "fence"))) {
		status = 409;
		exchange_answer_json(exchange, status,
				     "{\"error\": \"old fence\"}\n");
	} else {
		if (!order)
			order = platform_carry_out(platform, arguments);
		status = order->status;
		json_answer(exchange, status, json_incref(order->answer));
	}
	platform_log(platform, "order", arguments, status);
}
