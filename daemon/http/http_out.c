#include "daemon/http/http_out.h"

#include <neon/ne_socket.h>
#include <stdlib.h>

#include "base/alloc.h"
#include "daemon/http/adapter.h"
#include "daemon/http/attempt.h"
#include "daemon/http/order.h"

struct http_out {
	struct wire_hub hub;
	struct attempt_set attempts;
	const struct edge_sink *sink;
	char *platform;
};

struct http_out *http_out_start(const struct http_out_options *options,
				const struct error_handler *handler)
{
	struct http_out *out;

	if (ne_sock_init()) {
		error_report(handler, RESULT_SETTING_VALUE,
			     "the HTTP client library can't be started");
		return NULL;
	}
	out = xcalloc(1, sizeof(*out));
	out->sink = options->sink;
	out->platform = xstrdup(options->platform);
	if (!wire_hub_init(&out->hub, options->workers, options->counters)) {
		error_report(handler, RESULT_SETTING_VALUE,
			     "the watch of deadlines can't be started");
		free(out->platform);
		free(out);
		return NULL;
	}
	attempt_set_init(&out->attempts, &out->hub, options->exchanges,
			 options->sink, options->counters);
	return out;
}

void http_out_start_attempt(struct http_out *out,
			    const struct effect_start_attempt *start)
{
	attempt_set_start(&out->attempts, start);
}

void http_out_cancel_attempt(struct http_out *out,
			     const struct effect_cancel_attempt *cancel)
{
	attempt_set_cancel(&out->attempts, cancel->id, cancel->attempt);
}

void http_out_distrust(struct http_out *out,
		       const struct effect_distrust *distrust)
{
	pool_distrust(&out->hub.pool, distrust->address);
}

void http_out_platform_call(struct http_out *out,
			    const struct effect_platform_call *effect)
{
	const struct order_target target = { &out->hub, out->sink,
					     out->platform };
	struct adapter_call call;

	if (!out->platform || adapter_platform_call(&call, effect))
		order_refuse(out->sink, effect->order_id,
			     RESULT_PLATFORM_REFUSED);
	else
		order_start(&target, effect->order_id, effect->timeout_ms,
			    effect->until_us, &call);
}

void http_out_engine_order(struct http_out *out,
			   const struct effect_engine_order *effect)
{
	const struct order_target target = { &out->hub, out->sink,
					     effect->address };
	struct adapter_call call;

	if (adapter_engine_call(&call, effect))
		order_refuse(out->sink, effect->order_id,
			     RESULT_PLATFORM_REFUSED);
	else
		order_start(&target, effect->order_id, effect->timeout_ms, 0,
			    &call);
}

void http_out_stop(struct http_out *out)
{
	wire_hub_clear(&out->hub);
	attempt_set_clear(&out->attempts);
	free(out->platform);
	free(out);
}
