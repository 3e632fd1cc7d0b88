#include "fakes/fault.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/json.h"

#define FAULT_EXIT_STATUS 70

struct fault {
	struct list node;
	enum fault_kind kind;
	int64_t count; /**< 0 for no end */
	int64_t value;
	char *path;
};

static const char *const fault_names[FAULT_KINDS] = {
	[FAULT_SLOW] = "slow",
	[FAULT_CRASH] = "crash",
	[FAULT_CRASH_ON_MARK] = "crash-on-mark",
	[FAULT_SILENT] = "silent",
	[FAULT_LATE] = "late",
	[FAULT_CROSSED] = "crossed",
	[FAULT_CLOSE_AFTER_READ] = "close-after-read",
	[FAULT_CRASH_BEFORE_RUN] = "crash-before-run",
	[FAULT_CLOSE_AFTER_RUN] = "close-after-run",
	[FAULT_CRASH_AFTER_RUN] = "crash-after-run",
	[FAULT_BREAK] = "break",
	[FAULT_ERROR] = "error",
	[FAULT_DOUBLE] = "double",
	[FAULT_NONE] = "none",
};

static const char *const fault_values[FAULT_KINDS] = {
	[FAULT_LATE] = "ms",
	[FAULT_BREAK] = "after",
	[FAULT_ERROR] = "status",
};

void faults_init(struct faults *faults, struct server *server)
{
	list_init(&faults->faults);
	faults->slow = 1;
	faults->mark = NULL;
	faults->server = server;
}

static void fault_free(struct fault *fault)
{
	list_remove(&fault->node);
	free(fault->path);
	free(fault);
}

void faults_clear(struct faults *faults)
{
	struct fault *fault;

	while ((fault = list_first(&faults->faults, struct fault, node)))
		fault_free(fault);
	free(faults->mark);
	faults->mark = NULL;
	faults->slow = 1;
}

static enum fault_kind fault_find_kind(const char *name)
{
	int kind;

	for (kind = 0; name && kind < FAULT_KINDS; kind++)
		if (!strcmp(fault_names[kind], name))
			break;
	return name ? (enum fault_kind)kind : FAULT_KINDS;
}

static void faults_add_counted(struct faults *faults, enum fault_kind kind,
			       const json_t *json)
{
	struct fault *fault = xcalloc(1, sizeof(*fault));
	const json_t *count = json_object_get(json, "count");

	fault->kind = kind;
	fault->count = count ? json_integer_value(count) : 1;
	if (fault_values[kind])
		fault->value = json_integer_value(
			json_object_get(json, fault_values[kind]));
	fault->path = xstrdup(json_string_value(json_object_get(json, "path")));
	list_append(&faults->faults, &fault->node);
}

bool faults_add(struct faults *faults, const char *text)
{
	cleanup(json_free) json_t *json = json_loads(text, 0, NULL);
	enum fault_kind kind = fault_find_kind(
		json_string_value(json_object_get(json, "kind")));

	switch (kind) {
	case FAULT_KINDS:
		return false;
	case FAULT_NONE:
		faults_clear(faults);
		return true;
	case FAULT_SLOW:
		faults->slow =
			json_number_value(json_object_get(json, "factor"));
		return faults->slow > 0;
	case FAULT_CRASH:
		faults_crash("asked for");
	case FAULT_CRASH_ON_MARK:
		free(faults->mark);
		faults->mark = xstrdup(
			json_string_value(json_object_get(json, "mark")));
		return faults->mark != NULL;
	case FAULT_SILENT:
		server_silence(faults->server);
		return true;
	default:
		faults_add_counted(faults, kind, json);
		return true;
	}
}

static bool fault_matches(const struct fault *fault, enum fault_kind kind,
			  const char *path)
{
	if (fault->kind != kind)
		return false;
	return !fault->path || !strncmp(fault->path, path, strlen(fault->path));
}

bool faults_strike(struct faults *faults, enum fault_kind kind,
		   const char *path, int64_t *value)
{
	struct fault *fault;

	list_foreach(fault, &faults->faults, node) {
		if (!fault_matches(fault, kind, path))
			continue;
		if (value)
			*value = fault->value;
		if (fault->count && !--fault->count)
			fault_free(fault);
		return true;
	}
	return false;
}

void faults_crash(const char *why)
{
	fprintf(stderr, "crash: %s\n", why);
	_exit(FAULT_EXIT_STATUS);
}

void faults_crash_on_mark(const struct faults *faults, const char *body,
			  size_t len)
{
	if (faults->mark &&
	    memmem(body, len, faults->mark, strlen(faults->mark)))
		faults_crash(faults->mark);
}

bool faults_handle(struct faults *faults, struct exchange *exchange)
{
	if (strcmp(exchange->path, "/fault"))
		return false;
	if (!faults_add(faults, bytes_text(&exchange->body))) {
		exchange_answer_json(exchange, 400,
				     "{\"error\": \"not a fault\"}\n");
		return true;
	}
	/* Else the answer itself would be kept back. */
	exchange->connection->silent = false;
	exchange_answer_json(exchange, 200, "{\"state\": \"done\"}\n");
	return true;
}
