#include <stdint.h>

#include "agree/yaml.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* A file of settings as an operator may write it. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	yaml_check_settings("f", (const char *)data, len, NULL);
	return 0;
}
