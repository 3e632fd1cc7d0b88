#include <stdint.h>

#include "usage/merge.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* A message of counters from another daemon, twice, and the answer to it. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct bytes body = { 0 };
	struct bytes reply = { 0 };
	struct bytes out = { 0 };
	struct usage *usage = usage_new(1, 1);

	bytes_append(&body, data, len);
	usage_tick(usage, 1000, 5000, 5000);
	usage_peers(usage, 2, 3);
	usage_receive(usage, 2, &body, 5000, &reply);
	usage_receive(usage, 3, &body, 6000, &reply);
	usage_tick(usage, 1000, 90000000, 90000000);
	while (usage_next_message(usage, 2, 90000000, 1024, &out))
		bytes_clear(&out);
	bytes_clear(&out);
	bytes_clear(&body);
	bytes_clear(&reply);
	usage_free(usage);
	return 0;
}
