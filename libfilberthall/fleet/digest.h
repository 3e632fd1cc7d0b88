#ifndef FILBERTHALL_FLEET_DIGEST_H
#define FILBERTHALL_FLEET_DIGEST_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/result.h"
#include "fleet/backend.h"

/**
 * Load figures of several backend servers in one message.
 *
 * Load pattern answered: a thousand servers report each second. Passing each
 * whole announcement on to every daemon costs its names over and over, some
 * 250 bytes a report, where only the figures change. A digest has one short
 * row a server, named by hashes of its address and boot id; whole
 * announcements go out only when a server joins, leaves or changes what it
 * is.
 *
 * Failure answered: the whole announcement was lost on its way (a link's
 * queue overflowed, a daemon was cut off and its entry expired), and rows
 * alone would never bring the server back. A row of an unknown server or boot
 * is told to the caller, who asks its sender for the whole. An old sequence
 * is refused, as an announcement would be.
 */

/** Remember what must be told whole if it changes: names, slots, rates. */
uint64_t digest_identity(const struct backend *backend);

/**
 * Append a digest of all servers marked `untold` and clear the marks.
 * Returns the number of rows; 0 leaves `out` as it was.
 */
int digest_write(struct fleet *fleet, int64_t now_us, struct bytes *out);

/**
 * Take a digest in. `unknown` is called with the address hash of each row
 * whose server or boot isn't known here.
 *
 * Returns RESULT_OK, or RESULT_MESSAGE_MALFORMED (rows before the fault are
 * taken).
 */
enum result digest_read(struct fleet *fleet, const void *data, size_t len,
			int64_t now_us,
			void (*unknown)(void *data, uint64_t address_hash),
			void *unknown_data);

/** The server whose address has this hash, or NULL. */
struct backend *digest_find(const struct fleet *fleet, uint64_t address_hash);

#endif
