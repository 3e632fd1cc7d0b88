#include "base/name.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/alloc.h"

/* Of a longer name; the hash behind it has 33 bytes. */
#define START_BYTES 30

/* Bytes of the start of `name`, without a letter that is cut. */
static int start_len(const char *name)
{
	int len = START_BYTES;

	while (len > 0 && ((unsigned char)name[len] & 0xc0) == 0x80)
		len--;
	return len;
}

void name_shorten(char out[NAME_SIZE], const char *name)
{
	size_t len = strlen(name);
	XXH128_hash_t hash;

	if (len < NAME_SIZE) {
		memcpy(out, name, len + 1);
		return;
	}
	hash = XXH3_128bits(name, len);
	snprintf(out, NAME_SIZE, "%.*s#%016" PRIx64 "%016" PRIx64,
		 start_len(name), name, (uint64_t)hash.high64,
		 (uint64_t)hash.low64);
}

char *name_short_copy(const char *name)
{
	char out[NAME_SIZE];

	name_shorten(out, name);
	return xstrdup(out);
}
