#include "fakes/json.h"

#include <stdlib.h>

#include "base/cleanup.h"

void json_free(json_t **json)
{
	json_decref(*json);
}

const char *json_text(const json_t *object, const char *name)
{
	return json_string_value(json_object_get(object, name));
}

int64_t json_int(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

json_t *json_body(struct exchange *exchange)
{
	json_t *json = json_loadb(bytes_text(&exchange->body),
				  exchange->body.len, 0, NULL);

	if (json_is_object(json))
		return json;
	json_decref(json);
	return NULL;
}

void json_answer(struct exchange *exchange, int status, json_t *json)
{
	cleanup(free_ptr) char *text = json_dumps(json, 0);

	json_decref(json);
	exchange_answer_json(exchange, status, text);
}
