#include "bench/plain.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

struct plain_request {
	struct map_node node;
	uint64_t id;
	char address[BACKEND_NAME_SIZE];
	bool answered;
};

struct plain {
	struct fleet *fleet;
	bool least;
	uint64_t turn;
	struct map requests;
};

static bool plain_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct plain_request, node)->id ==
	       *(const uint64_t *)key;
}

static struct plain_request *plain_find(const struct plain *plain, uint64_t id)
{
	struct map_node *node =
		map_find(&plain->requests, map_hash(&id, sizeof(id)),
			 plain_match, &id);

	return node ? container_of(node, struct plain_request, node) : NULL;
}

struct plain *plain_new(struct fleet *fleet, bool least)
{
	struct plain *plain = xcalloc(1, sizeof(*plain));

	plain->fleet = fleet;
	plain->least = least;
	map_init(&plain->requests);
	return plain;
}

void plain_free(struct plain *plain)
{
	struct plain_request *request;
	struct plain_request *next;

	if (!plain)
		return;
	map_foreach(request, next, &plain->requests, node)
		free(request);
	map_clear(&plain->requests);
	free(plain);
}

static struct backend *plain_pick(struct plain *plain, const char *model,
				  int64_t now_us)
{
	uint64_t wanted = plain->fleet->backends.count
				  ? plain->turn++ % plain->fleet->backends.count
				  : 0;
	struct backend *best = NULL;
	struct backend *after = NULL;
	struct backend *backend;
	struct backend *next;
	uint64_t at = 0;

	map_foreach(backend, next, &plain->fleet->backends, node) {
		bool usable = backend_usable(backend, now_us) &&
			      backend_serves(backend, model, NULL, NULL);

		at++;
		if (!usable)
			continue;
		if (!after && at > wanted)
			after = backend;
		if (!best || backend->own.running < best->own.running)
			best = backend;
	}
	return plain->least || !after ? best : after;
}

static void plain_answer(struct effects *effects, uint64_t id, enum result code,
			 enum run_state run)
{
	struct effect *effect = effects_add(effects, EFFECT_ANSWER);

	effect->u.answer.id = id;
	effect->u.answer.code = code;
	effect->u.answer.run = run;
}

void plain_submit(struct plain *plain, const struct router_request *ask,
		  int64_t now_us, struct effects *effects)
{
	struct backend *backend = plain_pick(plain, ask->model, now_us);
	struct effect_start_attempt *start;
	struct plain_request *request;

	if (!backend) {
		plain_answer(effects, ask->id, RESULT_NO_CAPACITY, RUN_NOT);
		return;
	}
	request = xcalloc(1, sizeof(*request));
	request->id = ask->id;
	memcpy(request->address, backend->address, sizeof(request->address));
	map_insert(&plain->requests, &request->node,
		   map_hash(&ask->id, sizeof(ask->id)));
	backend_started(backend, 0, 0, false, now_us);
	start = &effects_add(effects, EFFECT_START_ATTEMPT)->u.start;
	start->id = ask->id;
	start->attempt = 1;
	start->address = xstrdup(backend->address);
	start->first_byte_ms = 60000;
	start->idle_ms = 15000;
}

void plain_caller_left(struct plain *plain, uint64_t id,
		       struct effects *effects)
{
	struct plain_request *request = plain_find(plain, id);
	struct effect_cancel_attempt *cancel;

	if (!request || request->answered)
		return;
	request->answered = true;
	cancel = &effects_add(effects, EFFECT_CANCEL_ATTEMPT)->u.cancel;
	cancel->id = id;
	cancel->attempt = 1;
	plain_answer(effects, id, RESULT_CALLER_LEFT, RUN_UNKNOWN);
}

void plain_ended(struct plain *plain, const struct event_attempt_ended *ended,
		 int64_t now_us, struct effects *effects)
{
	struct plain_request *request = plain_find(plain, ended->id);
	struct backend *backend;

	if (!request)
		return;
	backend = fleet_find(plain->fleet, request->address);
	if (backend)
		backend_ended(backend, 0, 0, false, now_us);
	if (!request->answered)
		plain_answer(effects, ended->id, (enum result)ended->code,
			     ended->code ? ended->sent ? RUN_UNKNOWN : RUN_NOT
					 : RUN_RAN);
	map_remove(&plain->requests, &request->node);
	free(request);
}
