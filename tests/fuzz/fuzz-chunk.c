#include <stdint.h>

#include "daemon/http/adapter.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* One chunk of an engine's stream, or its whole answer. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct adapter_chunk chunk;

	adapter_read_chunk(&chunk, (const char *)data, len, "entry-1-a-1.1");
	return 0;
}
