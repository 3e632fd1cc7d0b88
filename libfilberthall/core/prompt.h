#ifndef FILBERTHALL_CORE_PROMPT_H
#define FILBERTHALL_CORE_PROMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/result.h"
#include "core/event.h"

/** Length of a prompt's prefix, in bytes. */
#define PROMPT_PREFIX_BYTES 1024

/** Fields of a completion's JSON body that routing needs. */
struct prompt {
	char *model;   /**< before the first ':' */
	char *adapter; /**< after it, or NULL */
	uint64_t prefix_hash;
	int64_t prompt_tokens; /**< estimate: a quarter of the bytes */
	int64_t max_tokens;    /**< 0 if not limited */
	bool stream;
};

/**
 * Parse a body of OpenAI's published API (chat: "messages"; completion:
 * "prompt").
 *
 * Returns RESULT_OK, or RESULT_BAD_REQUEST with a message to `handler` that
 * names the field. On success the caller calls prompt_clear().
 */
enum result prompt_parse(struct prompt *prompt, enum request_kind kind,
			 const char *body, size_t len,
			 const struct error_handler *handler);

void prompt_clear(struct prompt *prompt);

#endif
