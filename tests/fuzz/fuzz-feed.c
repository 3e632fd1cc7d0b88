#include <stdint.h>
#include <stdlib.h>

#include "feed/feed.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* What another VM tells, alone or in a bundle; its servers can be used. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const char *rest = (const char *)data;
	struct feed_message message;
	const char *one = rest;
	size_t one_len = len;

	do {
		if (!feed_read(&message, one, one_len))
			continue;
		if (message.kind == FEED_REGISTRATION &&
		    !registration_is_usable(&message.u.registration))
			abort();
		feed_clear(&message);
	} while (feed_bundle_next(&rest, &len, &one, &one_len));
	return 0;
}
