#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/engine.h"
#include "fakes/json.h"

static void engine_replace(char **text, const char *with)
{
	free(*text);
	*text = xstrdup(with);
}

static void engine_unload_adapter(struct engine *engine, const char *adapter)
{
	cleanup(free_ptr) char *list = xstrdup(engine->adapters);
	char *rest = NULL;
	char *name = list ? strtok_r(list, ",", &rest) : NULL;
	char *kept = NULL;

	for (; name; name = strtok_r(NULL, ",", &rest)) {
		char *longer;

		if (!strcmp(name, adapter))
			continue;
		longer = kept ? xstrfmt("%s,%s", kept, name) : xstrdup(name);
		free(kept);
		kept = longer;
	}
	free(engine->adapters);
	engine->adapters = kept;
}

static void engine_load_adapter(struct engine *engine, const char *adapter)
{
	char *longer;

	engine_unload_adapter(engine, adapter);
	longer = engine->adapters ? xstrfmt("%s,%s", engine->adapters, adapter)
				  : xstrdup(adapter);
	free(engine->adapters);
	engine->adapters = longer;
}

static bool engine_carry_out(struct engine *engine, const char *verb,
			     const char *name)
{
	if (!strcmp(verb, "load-model"))
		engine_replace(&engine->model, name);
	else if (!strcmp(verb, "load-adapter"))
		engine_load_adapter(engine, name);
	else if (!strcmp(verb, "unload-adapter"))
		engine_unload_adapter(engine, name);
	else if (!strcmp(verb, "set-version"))
		engine_replace(&engine->version, name);
	else if (!strcmp(verb, "set-role"))
		engine_replace(&engine->role, name);
	else
		return false;
	engine->backend.announcer.announce.model = engine->model;
	engine->backend.announcer.announce.adapters = engine->adapters;
	engine->backend.announcer.announce.version = engine->version;
	engine->backend.announcer.announce.role = engine->role;
	announcer_now(&engine->backend.announcer);
	return true;
}

void engine_order(struct engine *engine, struct exchange *exchange)
{
	cleanup(json_free) json_t *json = json_body(exchange);
	const char *id = json_text(json, "order_id");
	const char *verb = json_text(json, "verb");
	const char *name = json_text(json, "name");
	int64_t fence = json_int(json, "fence");
	struct order *order;

	if (!id || !verb || !name) {
		engine_refuse(exchange, 400,
			      "order_id, verb and name are needed");
		return;
	}
	order = order_book_find(&engine->orders, id);
	if (!order && order_book_is_old(&engine->orders, fence)) {
		engine_refuse(exchange, 409, "an older fence than one seen");
		return;
	}
	if (!order && !engine_carry_out(engine, verb, name)) {
		engine_refuse(exchange, 400, "no such verb");
		return;
	}
	if (!order)
		order = order_book_keep(&engine->orders, id, fence, 200,
					json_pack("{s:s, s:s}", "order_id", id,
						  "state", "done"),
					NULL);
	json_answer(exchange, order->status, json_incref(order->answer));
}
