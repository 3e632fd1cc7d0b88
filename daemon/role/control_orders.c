/* Calls of a control VM to the platform, each ended by the lease. */
#include <stdlib.h>

#include "base/alloc.h"
#include "daemon/role/control_daemon_state.h"

/* Of the platform's API; the call's own time-out ends it anyway. */
#define PLATFORM_CONNECT_MS 800
#define PLATFORM_SILENT_MS 2000

/* A call to the platform that is under way. */
struct platform_call {
	struct list node;
	struct control_daemon *daemon;
	char *order_id;
	int status;
	struct http_call *call;
	ev_timer lease; /* nothing of it may be under way after the lease */
};

static void platform_call_free(struct platform_call *call)
{
	ev_timer_stop(call->daemon->role.ev, &call->lease);
	list_remove(&call->node);
	free(call->order_id);
	free(call);
}

static void platform_done(struct platform_call *call, enum result code)
{
	struct control_daemon *daemon = call->daemon;

	if (daemon->control)
		control_platform_answer(daemon->control, call->order_id, code,
					edge_now_us(), &daemon->effects);
	platform_call_free(call);
	control_daemon_carry_out(daemon);
}

static void on_platform_head(void *data, const struct http_head *head)
{
	struct platform_call *call = data;

	call->status = head->status;
}

static void on_platform_end(void *data, enum result code, bool sent)
{
	struct platform_call *call = data;

	call->call = NULL;
	if (!code)
		code = call->daemon->role.dialect->read_platform_status(
			call->status);
	platform_done(call, code);
}

static const struct http_call_hooks platform_hooks = { on_platform_head, NULL,
						       on_platform_end };

/*
 * The lease ends: bytes that still wait in this VM must not reach the platform
 * after its successor's, so the connection is dropped with them.
 */
static void on_lease_end(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct platform_call *call = timer->data;

	if (call->call)
		http_call_cancel(call->call);
	call->call = NULL;
	platform_done(call, RESULT_PLATFORM_UNKNOWN);
}

static void send_platform_call(struct control_daemon *daemon,
			       struct platform_call *call,
			       const struct effect_platform_call *order)
{
	const struct boot *boot = daemon->role.boot;
	struct http_call_request request = { 0 };
	struct bytes text = { 0 };
	int64_t left_us = order->until_us - edge_now_us();

	request.address = boot->platform;
	request.head = &text;
	request.fresh = true;
	request.timeout_ms = order->timeout_ms;
	ev_timer_init(&call->lease, on_lease_end,
		      left_us > 0 ? (double)left_us / 1e6 : 0, 0);
	call->lease.data = call;
	ev_timer_start(daemon->role.ev, &call->lease);
	if (left_us <= order->timeout_ms * 1000 ||
	    daemon->role.dialect->write_platform_call(order, boot->vm,
						      boot->platform, &text)) {
		ev_timer_stop(daemon->role.ev, &call->lease);
		ev_timer_set(&call->lease, 0, 0);
		ev_timer_start(daemon->role.ev, &call->lease);
	} else {
		call->call = http_call_start(daemon->platform, &request,
					     &platform_hooks, call);
	}
	bytes_clear(&text);
}

void control_orders_send(struct control_daemon *daemon,
			 const struct effect_platform_call *order)
{
	struct platform_call *call = xcalloc(1, sizeof(*call));

	call->daemon = daemon;
	call->order_id = xstrdup(order->order_id);
	list_append(&daemon->platform_calls, &call->node);
	send_platform_call(daemon, call, order);
}

void control_orders_open(struct control_daemon *daemon)
{
	struct http_client_options options = {
		.connect_ms = PLATFORM_CONNECT_MS,
		.silent_ms = PLATFORM_SILENT_MS,
	};

	list_init(&daemon->platform_calls);
	daemon->platform = http_client_new(&daemon->role.streams, &options);
	daemon->role.watch.client = daemon->platform;
}

void control_orders_close(struct control_daemon *daemon)
{
	struct platform_call *call;
	struct platform_call *next;

	if (!daemon->platform)
		return;
	list_foreach_safe(call, next, &daemon->platform_calls, node)
		platform_call_free(call);
	http_client_free(daemon->platform);
}
