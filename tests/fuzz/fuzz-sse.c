#include <stdint.h>
#include <stdlib.h>

#include "daemon/http/sse.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static enum result count(void *data, const char *event, size_t len,
			 const char *payload, size_t payload_len)
{
	if (payload && (payload < event || payload + payload_len > event + len))
		abort();
	*(size_t *)data += len;
	return RESULT_OK;
}

static size_t feed(const char *data, size_t len, size_t piece)
{
	struct sse sse = { 0 };
	size_t taken = 0;
	size_t at;
	size_t n;

	for (at = 0; at < len; at += n) {
		n = len - at < piece ? len - at : piece;
		sse_feed(&sse, data + at, n, count, &taken);
	}
	sse_clear(&sse);
	return taken;
}

/* An engine's stream: cut anywhere, it must give the same events. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const char *text = (const char *)data;

	if (feed(text, len, len) != feed(text, len, 1))
		abort();
	return 0;
}
