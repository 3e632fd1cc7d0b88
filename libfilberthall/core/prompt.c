#include "core/prompt.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/map.h"

/* Typical of English text; the estimate is corrected by the engine's count. */
#define PROMPT_BYTES_PER_TOKEN 4

static void json_cleanup(json_t **json)
{
	json_decref(*json);
}

static void bytes_cleanup(struct bytes *bytes)
{
	bytes_clear(bytes);
}

static void prompt_add_content(struct bytes *text, const json_t *content)
{
	size_t i;
	json_t *part;

	if (json_is_string(content)) {
		bytes_append(text, json_string_value(content),
			     json_string_length(content));
		return;
	}
	json_array_foreach(content, i, part) {
		const json_t *piece = json_object_get(part, "text");

		if (json_is_string(piece))
			bytes_append(text, json_string_value(piece),
				     json_string_length(piece));
	}
}

static enum result prompt_read_chat(struct bytes *text, const json_t *root,
				    const struct error_handler *handler)
{
	const json_t *messages = json_object_get(root, "messages");
	json_t *message;
	size_t i;

	if (!json_is_array(messages) || !json_array_size(messages))
		return error_report(handler, RESULT_BAD_REQUEST,
				    "messages: a list with at least one "
				    "message is needed");
	json_array_foreach(messages, i, message) {
		const json_t *role = json_object_get(message, "role");

		if (!json_is_string(role))
			return error_report(handler, RESULT_BAD_REQUEST,
					    "messages[%zu].role: a string is "
					    "needed",
					    i);
		bytes_append_text(text, json_string_value(role));
		bytes_append_text(text, "\n");
		prompt_add_content(text, json_object_get(message, "content"));
		bytes_append_text(text, "\n");
	}
	return RESULT_OK;
}

static enum result prompt_read_completion(struct bytes *text,
					  const json_t *root,
					  const struct error_handler *handler)
{
	const json_t *content = json_object_get(root, "prompt");

	if (!json_is_string(content))
		return error_report(handler, RESULT_BAD_REQUEST,
				    "prompt: a string is needed");
	prompt_add_content(text, content);
	return RESULT_OK;
}

static enum result prompt_read_model(struct prompt *prompt, const json_t *root,
				     const struct error_handler *handler)
{
	const char *model = json_string_value(json_object_get(root, "model"));
	const char *colon;

	if (!model || !*model)
		return error_report(handler, RESULT_BAD_REQUEST,
				    "model: a name is needed");
	colon = strchr(model, ':');
	prompt->model =
		xmemdup(model, colon ? (size_t)(colon - model) : strlen(model));
	prompt->adapter = xstrdup(colon ? colon + 1 : NULL);
	return RESULT_OK;
}

static enum result prompt_read_limits(struct prompt *prompt, const json_t *root,
				      const struct error_handler *handler)
{
	const json_t *limit = json_object_get(root, "max_completion_tokens");
	const json_t *stream = json_object_get(root, "stream");

	if (!limit)
		limit = json_object_get(root, "max_tokens");
	if (limit && !json_is_null(limit)) {
		if (!json_is_integer(limit) || json_integer_value(limit) < 1)
			return error_report(handler, RESULT_BAD_REQUEST,
					    "max_tokens: a whole number of 1 "
					    "or more is needed");
		prompt->max_tokens = json_integer_value(limit);
	}
	if (stream && !json_is_boolean(stream) && !json_is_null(stream))
		return error_report(handler, RESULT_BAD_REQUEST,
				    "stream: true or false is needed");
	prompt->stream = json_is_true(stream);
	return RESULT_OK;
}

static enum result prompt_read(struct prompt *prompt, enum request_kind kind,
			       const json_t *root,
			       const struct error_handler *handler)
{
	cleanup(bytes_cleanup) struct bytes text = { 0 };
	enum result code;

	code = prompt_read_model(prompt, root, handler);
	if (code)
		return code;
	code = prompt_read_limits(prompt, root, handler);
	if (code)
		return code;
	code = kind == REQUEST_CHAT
		       ? prompt_read_chat(&text, root, handler)
		       : prompt_read_completion(&text, root, handler);
	if (code)
		return code;
	prompt->prompt_tokens = text.len / PROMPT_BYTES_PER_TOKEN + 1;
	prompt->prefix_hash =
		map_hash(bytes_text(&text), text.len < PROMPT_PREFIX_BYTES
						    ? text.len
						    : PROMPT_PREFIX_BYTES);
	return RESULT_OK;
}

enum result prompt_parse(struct prompt *prompt, enum request_kind kind,
			 const char *body, size_t len,
			 const struct error_handler *handler)
{
	cleanup(json_cleanup) json_t *root = NULL;
	json_error_t error;
	enum result code;

	memset(prompt, 0, sizeof(*prompt));
	root = json_loadb(body, len, 0, &error);
	if (!json_is_object(root))
		return error_report(handler, RESULT_BAD_REQUEST,
				    "body: not a JSON object: line %d: %s",
				    error.line, root ? "" : error.text);
	code = prompt_read(prompt, kind, root, handler);
	if (code)
		prompt_clear(prompt);
	return code;
}

void prompt_clear(struct prompt *prompt)
{
	free(prompt->model);
	free(prompt->adapter);
	memset(prompt, 0, sizeof(*prompt));
}
