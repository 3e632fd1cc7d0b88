#include "base/compression.h"

#include <stdlib.h>
#include <zlib.h>

#include "base/alloc.h"

void compression_pack(struct bytes *out, const char *data, size_t len)
{
	uLongf packed = compressBound(len);
	Bytef *buffer = xcalloc(1, packed);

	/* Fails only for want of room, of which compressBound() leaves enough. */
	compress2(buffer, &packed, (const Bytef *)data, len, Z_BEST_SPEED);
	bytes_append(out, buffer, packed);
	free(buffer);
}

bool compression_unpack(struct bytes *out, const char *data, size_t len,
			size_t unpacked)
{
	uLongf room = unpacked;
	Bytef *buffer = xcalloc(1, unpacked + 1);
	bool good =
		uncompress(buffer, &room, (const Bytef *)data, len) == Z_OK &&
		room == unpacked;

	if (good)
		bytes_append(out, buffer, room);
	free(buffer);
	return good;
}
