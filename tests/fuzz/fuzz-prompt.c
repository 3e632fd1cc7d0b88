#include <stdint.h>

#include "core/prompt.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* A caller's body, as chat and as completion. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct prompt prompt;

	if (!prompt_parse(&prompt, REQUEST_CHAT, (const char *)data, len, NULL))
		prompt_clear(&prompt);
	if (!prompt_parse(&prompt, REQUEST_COMPLETION, (const char *)data, len,
			  NULL))
		prompt_clear(&prompt);
	return 0;
}
