#ifndef FAKES_JSON_H
#define FAKES_JSON_H

#include <jansson.h>
#include <stdint.h>

#include "fakes/exchange.h"

/** Small steps with jansson that the stand-ins share. */

/** For the cleanup attribute. */
void json_free(json_t **json);

/** A member's string, or NULL. */
const char *json_text(const json_t *object, const char *name);

/** A member's whole number, or 0. */
int64_t json_int(const json_t *object, const char *name);

/** Parse an exchange's body as an object; NULL if it isn't one. */
json_t *json_body(struct exchange *exchange);

/** Answer with `json`, which is taken over. */
void json_answer(struct exchange *exchange, int status, json_t *json);

#endif
