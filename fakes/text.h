#ifndef FAKES_TEXT_H
#define FAKES_TEXT_H

#include <stddef.h>
#include <stdint.h>

/**
 * The text that a fake engine generates: the same for the same request body,
 * so that a load tool or a test can tell a lost, doubled or crossed token.
 */

/** Room for one token with its NUL. */
#define TEXT_TOKEN_SIZE 16

/** Hash of a request's body, from which all else follows. */
uint64_t text_hash(const void *body, size_t len);

/** The token at `index`, into `token` of TEXT_TOKEN_SIZE; returns its length. */
size_t text_token(uint64_t hash, int64_t index, char *token);

/**
 * How many tokens are generated for a body: N if it holds "[tokens=N]", else
 * drawn from the hash with a long tail. The request's own limit, if any,
 * cuts it (`max_tokens`, 0 for none).
 */
int64_t text_length(const char *body, size_t len, uint64_t hash,
		    int64_t max_tokens);

#endif
