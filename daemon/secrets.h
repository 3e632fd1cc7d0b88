#ifndef FILBERTHALL_DAEMON_SECRETS_H
#define FILBERTHALL_DAEMON_SECRETS_H

#include "base/bytes.h"
#include "base/error.h"
#include "base/result.h"
#include "daemon/boot.h"

/** Bytes of a secret's file at most; secrets are some tens. */
#define SECRETS_MOST 4096

/** What the files hold that the boot settings name. */
struct secrets {
	struct bytes key_secret;
	struct bytes link_secret;
	struct bytes certificate; /**< PEM, empty without TLS */
	struct bytes private_key;
	struct bytes seed_values; /**< JSON {PATH: value}, or empty */
	char seed_key_hash[65];	  /**< of the first operator's key, or "" */
};

/**
 * Read all files that the boot settings name.
 *
 * Returns RESULT_OK, or an error reported to `handler` that names the file.
 * secrets_clear() is due in both cases.
 */
enum result secrets_load(struct secrets *secrets, const struct boot *boot,
			 const struct error_handler *handler);

void secrets_clear(struct secrets *secrets);

#endif
