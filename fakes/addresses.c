#include "fakes/addresses.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/json.h"

static void addresses_add(struct addresses *addresses, const char *address)
{
	size_t size = (addresses->n + 2) * sizeof(char *);

	addresses->list = xrealloc(addresses->list, size);
	addresses->list[addresses->n++] = xstrdup(address);
	addresses->list[addresses->n] = NULL;
}

void addresses_clear(struct addresses *addresses)
{
	size_t i;

	for (i = 0; i < addresses->n; i++)
		free(addresses->list[i]);
	free(addresses->list);
	addresses->list = NULL;
	addresses->n = 0;
}

void addresses_set(struct addresses *addresses, char *const *from)
{
	addresses_clear(addresses);
	for (; *from; from++)
		addresses_add(addresses, *from);
}

bool addresses_handle(struct addresses *addresses, struct exchange *exchange)
{
	cleanup(json_free) json_t *json = NULL;
	const json_t *daemons;
	json_t *daemon;
	size_t i;

	if (strcmp(exchange->path, "/daemons"))
		return false;
	json = json_body(exchange);
	daemons = json_object_get(json, "daemons");
	if (!json_is_array(daemons)) {
		exchange_answer_json(exchange, 400,
				     "{\"error\": \"daemons: a list\"}\n");
		return true;
	}
	addresses_clear(addresses);
	json_array_foreach(daemons, i, daemon)
		if (json_is_string(daemon))
			addresses_add(addresses, json_string_value(daemon));
	exchange_answer_json(exchange, 200, "{\"state\": \"done\"}\n");
	return true;
}
