#ifndef FILBERTHALL_DAEMON_BOOT_KEY_H
#define FILBERTHALL_DAEMON_BOOT_KEY_H

#include <stddef.h>
#include <stdint.h>

#include "daemon/boot.h"

/** The keys of boot settings: what each may hold, and where it is kept. */

enum boot_type {
	BOOT_NAME,    /**< letters, digits, '-', '_', '.' */
	BOOT_PATH,    /**< of a file or folder */
	BOOT_ADDRESS, /**< IP:port */
	BOOT_FLAG,
	BOOT_NUMBER,
	BOOT_SHARE, /**< from 0 to 1 */
	BOOT_LEVEL,
	BOOT_ROLE
};

/** In which roles a key must be given. */
#define NEEDED_ALL 1u
#define NEEDED_ENTRY 2u
#define NEEDED_CONTROL 4u
#define NEEDED 7u

struct boot_key {
	const char *section; /**< NULL at the top */
	const char *name;
	enum boot_type type;
	size_t offset;
	unsigned int required;
	int64_t least;
	int64_t most;
	int64_t fallback;
};

/** All keys but the lists `peers` and `seeds`. */
extern const struct boot_key boot_keys[];
extern const size_t boot_keys_count;

/**
 * Repeats for each request, over all entry VMs: a service that fails as a
 * whole gets a fifth more load at most.
 */
#define BOOT_RETRY_SHARE 0.2

#endif
