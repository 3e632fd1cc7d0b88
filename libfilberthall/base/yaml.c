#include "base/yaml.h"

#include <errno.h>
#include <jansson.h>
#include <libfyaml.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Deeper trees than any settings need; guards the reader's own recursion. */
#define YAML_MAX_DEPTH 32

struct yaml_reader {
	const char *name;
	const struct error_handler *handler;
};

static struct yaml *yaml_new(void)
{
	struct yaml *yaml = xcalloc(1, sizeof(*yaml));

	list_init(&yaml->node);
	list_init(&yaml->children);
	return yaml;
}

/*
 * libfyaml tells the place of scalars only: a map stands where its first key
 * does, and a value without a place of its own where its key does.
 */
static void yaml_place(struct yaml *yaml, struct fy_node *scalar)
{
	const struct fy_mark *mark;

	if (yaml->line || !fy_node_is_scalar(scalar))
		return;
	mark = fy_token_start_mark(fy_node_get_scalar_token(scalar));
	if (!mark)
		return;
	yaml->line = mark->line + 1;
	yaml->column = mark->column + 1;
}

void yaml_free(struct yaml *yaml)
{
	struct yaml *child;
	struct yaml *next;

	if (!yaml)
		return;
	list_foreach_safe(child, next, &yaml->children, node)
		yaml_free(child);
	free(yaml->key);
	free(yaml->text);
	free(yaml);
}

void yaml_cleanup(struct yaml **yaml)
{
	yaml_free(*yaml);
}

static enum result yaml_read(struct yaml **yaml, struct yaml_reader *reader,
			     struct fy_node *from, int depth);

static enum result yaml_read_map(struct yaml *yaml, struct yaml_reader *reader,
				 struct fy_node *from, int depth)
{
	struct fy_node_pair *pair;
	void *at = NULL;

	yaml->kind = YAML_MAP;
	while ((pair = fy_node_mapping_iterate(from, &at))) {
		struct fy_node *key_node = fy_node_pair_key(pair);
		const char *key = fy_node_get_scalar0(key_node);
		struct yaml *child = NULL;
		enum result code;

		yaml_place(yaml, key_node);
		if (!key)
			return error_report(reader->handler,
					    RESULT_SETTING_SYNTAX,
					    "%s:%d: a key must be plain text",
					    reader->name, yaml->line);
		if (yaml_get(yaml, key))
			return error_report(reader->handler,
					    RESULT_SETTING_SYNTAX,
					    "%s:%d: key '%s' stands twice",
					    reader->name, yaml->line, key);
		code = yaml_read(&child, reader, fy_node_pair_value(pair),
				 depth + 1);
		if (code)
			return code;
		child->key = xstrdup(key);
		yaml_place(child, key_node);
		list_append(&yaml->children, &child->node);
	}
	return RESULT_OK;
}

static enum result yaml_read_list(struct yaml *yaml, struct yaml_reader *reader,
				  struct fy_node *from, int depth)
{
	struct fy_node *item;
	void *at = NULL;

	yaml->kind = YAML_LIST;
	while ((item = fy_node_sequence_iterate(from, &at))) {
		struct yaml *child = NULL;
		enum result code;

		code = yaml_read(&child, reader, item, depth + 1);
		if (code)
			return code;
		list_append(&yaml->children, &child->node);
	}
	return RESULT_OK;
}

static void yaml_read_scalar(struct yaml *yaml, struct fy_node *from)
{
	enum fy_node_style style = fy_node_get_style(from);
	const char *text;
	size_t len = 0;

	yaml->kind = YAML_SCALAR;
	yaml_place(yaml, from);
	text = fy_node_get_scalar(from, &len);
	yaml->text = xmemdup(text ? text : "", text ? len : 0);
	yaml->quoted = style == FYNS_SINGLE_QUOTED ||
		       style == FYNS_DOUBLE_QUOTED || style == FYNS_LITERAL ||
		       style == FYNS_FOLDED;
}

/*
 * Aliases are refused: resolved, a text of a few lines can stand for a tree
 * that fills the memory; unresolved, the alias would pass for plain text.
 */
static enum result yaml_refuse_alias(struct yaml *yaml,
				     struct yaml_reader *reader,
				     struct fy_node *from)
{
	yaml_place(yaml, from);
	return error_report(reader->handler, RESULT_SETTING_SYNTAX,
			    "%s:%d:%d: aliases aren't supported", reader->name,
			    yaml->line, yaml->column);
}

static enum result yaml_read(struct yaml **yaml, struct yaml_reader *reader,
			     struct fy_node *from, int depth)
{
	struct yaml *read = yaml_new();
	enum result code = RESULT_OK;

	if (from && fy_node_is_alias(from))
		code = yaml_refuse_alias(read, reader, from);
	else if (depth > YAML_MAX_DEPTH)
		code = error_report(reader->handler, RESULT_SETTING_SYNTAX,
				    "%s:%d: nested deeper than %d levels",
				    reader->name, read->line, YAML_MAX_DEPTH);
	else if (fy_node_is_mapping(from))
		code = yaml_read_map(read, reader, from, depth);
	else if (fy_node_is_sequence(from))
		code = yaml_read_list(read, reader, from, depth);
	else
		yaml_read_scalar(read, from);
	if (code) {
		yaml_free(read);
		return code;
	}
	*yaml = read;
	return RESULT_OK;
}

static struct fy_diag *yaml_quiet_diag(void)
{
	struct fy_diag_cfg cfg;
	struct fy_diag *diag;

	fy_diag_cfg_default(&cfg);
	cfg.fp = NULL;
	diag = fy_diag_create(&cfg);
	fy_diag_set_collect_errors(diag, true);
	return diag;
}

static enum result yaml_report_syntax(struct yaml_reader *reader,
				      struct fy_diag *diag)
{
	struct fy_diag_error *error;
	void *at = NULL;

	error = fy_diag_errors_iterate(diag, &at);
	if (!error)
		return error_report(reader->handler, RESULT_SETTING_SYNTAX,
				    "%s: not valid YAML", reader->name);
	return error_report(reader->handler, RESULT_SETTING_SYNTAX,
			    "%s:%d:%d: not valid YAML: %s", reader->name,
			    error->line, error->column, error->msg);
}

/*
 * The library's simple call reads the first document and ignores the rest;
 * whoever wrote the rest would believe it in force.
 */
static enum result yaml_read_only(struct yaml **root,
				  struct yaml_reader *reader,
				  struct fy_parser *parser,
				  struct fy_diag *diag)
{
	struct fy_document *document = fy_parse_load_document(parser);
	struct fy_document *second = NULL;
	enum result code;

	if (document)
		second = fy_parse_load_document(parser);
	if (fy_diag_got_error(diag))
		code = yaml_report_syntax(reader, diag);
	else if (!document || !fy_document_root(document))
		code = error_report(reader->handler, RESULT_SETTING_SYNTAX,
				    "%s: empty", reader->name);
	else if (second)
		code = error_report(reader->handler, RESULT_SETTING_SYNTAX,
				    "%s: more than one document", reader->name);
	else
		code = yaml_read(root, reader, fy_document_root(document), 0);
	fy_parse_document_destroy(parser, second);
	fy_parse_document_destroy(parser, document);
	return code;
}

/*
 * libfyaml 0.7.12 never returns from a text such as "%\xca": a directive with
 * half a character. So text that isn't UTF-8 doesn't reach it.
 */
static bool yaml_is_utf8(const char *text, size_t len)
{
	json_t *probe = json_stringn(text, len);

	json_decref(probe);
	return probe;
}

enum result yaml_parse(struct yaml **root, const char *name, const char *text,
		       size_t len, const struct error_handler *handler)
{
	struct yaml_reader reader = { name, handler };
	struct fy_parse_cfg cfg = { 0 };
	struct fy_parser *parser;
	enum result code;

	*root = NULL;
	if (!yaml_is_utf8(text, len))
		return error_report(handler, RESULT_SETTING_SYNTAX,
				    "%s: not UTF-8", name);
	cfg.diag = yaml_quiet_diag();
	parser = fy_parser_create(&cfg);
	fy_parser_set_string(parser, text, len);
	code = yaml_read_only(root, &reader, parser, cfg.diag);
	fy_parser_destroy(parser);
	fy_diag_destroy(cfg.diag);
	return code;
}

const struct yaml *yaml_get(const struct yaml *map, const char *key)
{
	const struct yaml *child;

	if (!map || map->kind != YAML_MAP)
		return NULL;
	yaml_foreach(child, map)
		if (!strcmp(child->key, key))
			return child;
	return NULL;
}

static bool yaml_is_plain(const struct yaml *yaml)
{
	return yaml && yaml->kind == YAML_SCALAR && !yaml->quoted &&
	       yaml->text[0];
}

bool yaml_int(const struct yaml *yaml, int64_t *value)
{
	char *end;
	long long read;

	if (!yaml_is_plain(yaml))
		return false;
	errno = 0;
	read = strtoll(yaml->text, &end, 10);
	if (errno || *end)
		return false;
	*value = read;
	return true;
}

bool yaml_real(const struct yaml *yaml, double *value)
{
	char *end;
	double read;

	if (!yaml_is_plain(yaml))
		return false;
	errno = 0;
	read = strtod(yaml->text, &end);
	if (errno || *end || !isfinite(read))
		return false;
	*value = read;
	return true;
}

bool yaml_bool(const struct yaml *yaml, bool *value)
{
	if (!yaml_is_plain(yaml))
		return false;
	*value = !strcmp(yaml->text, "true");
	return *value || !strcmp(yaml->text, "false");
}
