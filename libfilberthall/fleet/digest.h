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
 * Load pattern handled: a thousand servers report every second. Forwarding
 * each full announcement to every daemon would repeat its names, some 250
 * bytes a report, although only the load figures change. A digest has one
 * short row for each server, identified by hashes of its address and boot id;
 * full announcements are sent only when a server joins, leaves or changes one
 * of its attributes.
 *
 * Failure handled: the full announcement was lost (a link's queue overflowed,
 * or a daemon was cut off and its entry expired), and the rows alone could
 * never add the server. The caller is notified of a row of an unknown server
 * or boot and requests the full announcement from the sender. Rows with an old
 * sequence number are ignored, as such announcements are.
 */

/** Hash of the attributes that rows don't carry: names, slots, rates. */
uint64_t digest_identity(const struct backend *backend);

/**
 * Append a digest of all servers with `forward_pending` set, and clear it.
 * Returns the number of rows; 0 leaves `out` as it was.
 */
int digest_write(struct fleet *fleet, int64_t now_us, struct bytes *out);

/**
 * Apply a received digest. `unknown` is called with the address hash of each
 * row whose server or boot isn't known here.
 *
 * Returns RESULT_OK, or RESULT_MESSAGE_MALFORMED (rows before the malformed
 * one are applied).
 */
enum result digest_read(struct fleet *fleet, const void *data, size_t len,
			int64_t now_us,
			void (*unknown)(void *data, uint64_t address_hash),
			void *unknown_data);

/** The server whose address has this hash, or NULL. */
struct backend *digest_find(const struct fleet *fleet, uint64_t address_hash);

#endif
