#include <stdint.h>
#include <stdlib.h>

#include "platform/platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* What an operator sends; what is let in has a version and a time-out. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct document *document =
		platform_read_document((const char *)data, len, NULL);
	size_t i;

	if (!document)
		return 0;
	if (document->version <= 0)
		abort();
	for (i = 0; i < document->n_routes; i++)
		if (!document->routes[i].timeout_ms)
			abort();
	document_free(document);
	return 0;
}
