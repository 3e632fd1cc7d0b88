#include "daemon/http/order.h"

#include <stdlib.h>

#include "base/alloc.h"

#define ANSWER_BYTES (4 * 1024 * 1024)

struct order {
	struct wire wire;
	const struct edge_sink *sink;
	char *order_id;
	char *address;
	struct bytes request;
	struct bytes answer;
};

static struct order *order_of(struct wire *wire)
{
	return container_of(wire, struct order, wire);
}

static void order_finish(struct order *order, enum result code)
{
	struct event *event = event_new(EVENT_PLATFORM);
	int status = order->wire.http_status;

	wire_forget(&order->wire);
	event->u.platform.order_id = order->order_id;
	if (code)
		event->u.platform.code = RESULT_PLATFORM_UNKNOWN;
	else if (status < 200 || status > 299)
		event->u.platform.code = RESULT_PLATFORM_REFUSED;
	event->u.platform.body = order->answer;
	order->sink->post(order->sink->data, event);
	bytes_clear(&order->request);
	free(order->address);
	free(order);
}

static void order_run(struct wire *wire)
{
	order_finish(order_of(wire), wire_run(wire));
}

static void order_drop(struct wire *wire)
{
	order_finish(order_of(wire), RESULT_BACKEND_CONNECT);
}

static void order_prepare(struct wire *wire, ne_request *request)
{
	if (wire->body_len)
		ne_add_request_header(request, "Content-Type",
				      "application/json");
}

static enum result order_head(struct wire *wire, ne_request *request)
{
	(void)wire;
	(void)request;
	return RESULT_OK;
}

static enum result order_block(struct wire *wire, const char *data, size_t len)
{
	struct order *order = order_of(wire);

	if (order->answer.len + len > ANSWER_BYTES)
		return RESULT_BACKEND_BROKE;
	bytes_append(&order->answer, data, len);
	return RESULT_OK;
}

static const struct wire_ops order_ops = {
	.run = order_run,
	.drop = order_drop,
	.prepare = order_prepare,
	.head = order_head,
	.block = order_block,
};

void order_refuse(const struct edge_sink *sink, const char *order_id,
		  enum result code)
{
	struct event *event = event_new(EVENT_PLATFORM);

	event->u.platform.order_id = xstrdup(order_id);
	event->u.platform.code = code;
	sink->post(sink->data, event);
}

void order_start(const struct order_target *target, const char *order_id,
		 int64_t timeout_ms, int64_t until_us,
		 struct adapter_call *call)
{
	int64_t now_us = edge_now_us();
	struct order *order;
	struct wire *wire;

	if (until_us && now_us >= until_us) {
		bytes_clear(&call->body);
		order_refuse(target->sink, order_id, RESULT_PLATFORM_UNKNOWN);
		return;
	}
	order = xcalloc(1, sizeof(*order));
	wire = &order->wire;

	order->sink = target->sink;
	order->order_id = xstrdup(order_id);
	order->address = xstrdup(target->address);
	order->request = call->body;
	list_init(&wire->queued);
	list_init(&wire->node);
	wire->ops = &order_ops;
	wire->address = order->address;
	wire->method = call->method;
	wire->path = call->path;
	wire->body = order->request.data;
	wire->body_len = order->request.len;
	wire->connect_ms = timeout_ms;
	wire->first_byte_ms = timeout_ms;
	wire->idle_ms = timeout_ms;
	wire->until_us = now_us + timeout_ms * 1000;
	if (until_us && until_us < wire->until_us)
		wire->until_us = until_us;
	wire->fresh = true;
	wire->abort = true;
	wire_submit(target->hub, wire);
}
