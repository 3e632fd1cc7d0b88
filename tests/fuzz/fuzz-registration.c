#include <stdint.h>
#include <stdlib.h>

#include "platform/platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* What anyone may announce; what is let in can be used. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct registration told;

	if (!platform_read_registration("i-1", (const char *)data, len, &told,
					NULL) &&
	    !registration_is_usable(&told))
		abort();
	return 0;
}
