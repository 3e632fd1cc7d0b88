#include <stdint.h>
#include <stdlib.h>

#include "daemon/link/link.h"
#include "daemon/link/link_frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Bytes from a link, frame after frame. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct link_frame frame;
	enum result code = RESULT_OK;
	size_t used = 1;
	size_t at = 0;

	while (!code && used) {
		code = link_frame_read(&frame, (const char *)data + at,
				       len - at, LINK_FRAME_MOST_BYTES, &used);
		if (used > len - at || frame.body_len > LINK_FRAME_BYTES)
			abort();
		at += used;
		link_frame_clear(&frame);
	}
	return 0;
}
