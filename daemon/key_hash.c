#include <sodium.h>

#include "daemon/http/http_in.h"

void key_hash(char out[65], const void *secret, size_t secret_len,
	      const char *key, size_t key_len)
{
	unsigned char hash[crypto_generichash_BYTES];
	unsigned char short_secret[crypto_generichash_KEYBYTES_MAX];

	/* The library takes a hash key of 64 bytes at most. */
	if (secret_len > sizeof(short_secret)) {
		crypto_generichash(short_secret, sizeof(short_secret), secret,
				   secret_len, NULL, 0);
		secret = short_secret;
		secret_len = sizeof(short_secret);
	}
	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
			   key_len, secret, secret_len);
	sodium_bin2hex(out, 2 * sizeof(hash) + 1, hash, sizeof(hash));
}
