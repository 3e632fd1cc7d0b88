#include <stdint.h>
#include <stdlib.h>

#include "daemon/http/adapter.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void take(void *data, struct event *event)
{
	(void)data;
	if (!event->u.cache.address || !event->u.cache.boot_id)
		abort();
	event_free(event);
}

/* What backend servers and the platform post; what is let in is complete. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const char *body = (const char *)data;
	struct event *event = adapter_read_announce(body, len, NULL);

	if (event &&
	    (!event->u.announce.address || !event->u.announce.boot_id ||
	     !event->u.announce.zone || event->u.announce.slots < 0))
		abort();
	event_free(event);
	event_free(adapter_read_notice(body, len, NULL));
	adapter_read_cache(body, len, take, NULL, NULL);
	return 0;
}
