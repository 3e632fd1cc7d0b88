#ifndef FILBERTHALL_DAEMON_ORDER_H
#define FILBERTHALL_DAEMON_ORDER_H

#include "daemon/http/adapter.h"
#include "daemon/edge.h"
#include "daemon/http/wire.h"

/**
 * One call to the platform or an order to an engine. Its answer, or the lack
 * of one, becomes one "platform" event.
 *
 * A call that is given up must not reach the other end later on, when another
 * VM may be in charge: each goes over a connection of its own, and when its
 * time is out, what the kernel hasn't sent yet is thrown away.
 */
struct order_target {
	struct wire_hub *hub;
	const struct edge_sink *sink;
	const char *address;
};

/**
 * Send a call; `call` is taken over.
 *
 * @param timeout_ms	when it is given up, from now
 * @param until_us	monotonic time after which it must not be on its way,
 *			0 for none. A process that was stopped between the
 *			core's decision and this sends nothing.
 */
void order_start(const struct order_target *target, const char *order_id,
		 int64_t timeout_ms, int64_t until_us,
		 struct adapter_call *call);

/** Nothing can be sent: the event says so. */
void order_refuse(const struct edge_sink *sink, const char *order_id,
		  enum result code);

#endif
