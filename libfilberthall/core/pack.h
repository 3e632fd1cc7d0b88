#ifndef FILBERTHALL_CORE_PACK_H
#define FILBERTHALL_CORE_PACK_H

#include <msgpack.h>
#include <stdbool.h>

#include "base/bytes.h"

/**
 * Helpers around msgpack-c for the messages between daemons. Each message is
 * an array whose first item is the message's kind.
 */

/** Initialise a packer that appends to `bytes`. */
void pack_init(msgpack_packer *packer, struct bytes *bytes);

void pack_text(msgpack_packer *packer, const char *text);
void pack_bytes(msgpack_packer *packer, const void *data, size_t len);

/**
 * Read the item at `*at` and move behind it. An item that claims more items or
 * bytes than follow is refused before memory is allocated for them.
 *
 * Returns false if it isn't complete; `message` is to be destroyed in any case.
 */
bool unpack_next(msgpack_unpacked *message, const void *data, size_t len,
		 size_t *at);

/** A decoded message; its items point into msgpack's memory zone. */
struct unpacked {
	msgpack_unpacked message;
	const msgpack_object *items;
	size_t n;
};

/** Read an array of at least one item; false if it isn't one. */
bool unpack_array(struct unpacked *unpacked, const void *data, size_t len);
void unpack_clear(struct unpacked *unpacked);

/** Item `i` as a whole number; false if it isn't one. */
bool unpack_int(const struct unpacked *unpacked, size_t i, int64_t *value);
bool unpack_uint(const struct unpacked *unpacked, size_t i, uint64_t *value);

/** Item `i` as text, a new string; NULL if it isn't text or too long. */
char *unpack_text(const struct unpacked *unpacked, size_t i, size_t max);

/** Item `i` as bytes inside the message; false if it isn't bytes. */
bool unpack_bytes(const struct unpacked *unpacked, size_t i, const char **data,
		  size_t *len);

#endif
