#include "daemon/boot.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/yaml.h"
#include "daemon/boot_key.h"
#include "daemon/disk/file.h"

#define BOOT_FILE_LIMIT (256 * 1024)
#define BOOT_NAME_LIMIT 63

static const char *const boot_levels[] = { "debug", "info", "warn", "error" };

struct boot_reader {
	struct boot *boot;
	const char *name;
	const struct error_handler *handler;
};

static enum result boot_refuse(struct boot_reader *reader,
			       const struct yaml *at, const char *allowed)
{
	return error_report(reader->handler, RESULT_SETTING_VALUE,
			    "%s:%d: %s: %s", reader->name, at->line,
			    at->key ? at->key : "entry", allowed);
}

bool boot_split_address(const char *address, char *ip, int *port)
{
	const char *colon = strrchr(address, ':');
	struct in_addr v4;
	char *end;
	long number;

	if (!colon || colon == address || colon - address > 45)
		return false;
	memcpy(ip, address, colon - address);
	ip[colon - address] = '\0';
	number = strtol(colon + 1, &end, 10);
	if (!colon[1] || *end || number < 0 || number > 65535)
		return false;
	*port = (int)number;
	return inet_pton(AF_INET, ip, &v4) == 1;
}

static bool boot_is_name(const char *text)
{
	size_t len = strlen(text);

	return len && len <= BOOT_NAME_LIMIT &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz"
			    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == len;
}

static enum result boot_set_text(struct boot_reader *reader,
				 const struct boot_key *key,
				 const struct yaml *at)
{
	char **slot = (char **)((char *)reader->boot + key->offset);
	char ip[64];
	int port;

	if (at->kind != YAML_SCALAR || !at->text[0])
		return boot_refuse(reader, at, "a text is needed");
	if (key->type == BOOT_NAME && !boot_is_name(at->text))
		return boot_refuse(reader, at,
				   "up to 63 letters, digits, '-', '_' and "
				   "'.' are allowed");
	if (key->type == BOOT_ADDRESS &&
	    !boot_split_address(at->text, ip, &port))
		return boot_refuse(reader, at, "IP:port is needed");
	*slot = xstrdup(at->text);
	return RESULT_OK;
}

static enum result boot_set_number(struct boot_reader *reader,
				   const struct boot_key *key,
				   const struct yaml *at)
{
	int64_t *slot = (int64_t *)((char *)reader->boot + key->offset);
	char allowed[96];
	double real;

	snprintf(allowed, sizeof(allowed),
		 "a whole number from %lld to %lld is needed",
		 (long long)key->least, (long long)key->most);
	/* A template may fill in a fraction; its whole part will do. */
	if (yaml_real(at, &real) && real >= (double)key->least &&
	    real <= (double)key->most)
		*slot = (int64_t)real;
	else
		return boot_refuse(reader, at, allowed);
	if (*slot < key->least || *slot > key->most)
		return boot_refuse(reader, at, allowed);
	return RESULT_OK;
}

static enum result boot_set_share(struct boot_reader *reader,
				  const struct boot_key *key,
				  const struct yaml *at)
{
	double *slot = (double *)((char *)reader->boot + key->offset);

	if (!yaml_real(at, slot) || *slot < 0 || *slot > 1)
		return boot_refuse(reader, at,
				   "a number from 0 to 1 is needed");
	return RESULT_OK;
}

/* Which of `n` words the value is; -1 for none. */
static int boot_word(const struct yaml *at, const char *const *words, int n)
{
	int i;

	for (i = 0; at->kind == YAML_SCALAR && i < n; i++)
		if (!strcmp(at->text, words[i]))
			return i;
	return -1;
}

static enum result boot_set_level(struct boot_reader *reader,
				  const struct yaml *at)
{
	int level = boot_word(at, boot_levels,
			      sizeof(boot_levels) / sizeof(boot_levels[0]));

	if (level < 0)
		return boot_refuse(reader, at,
				   "debug, info, warn or error is needed");
	reader->boot->log_level = (enum log_level)level;
	return RESULT_OK;
}

static const char *const boot_roles[] = { "all", "entry", "control" };

static enum result boot_set_role(struct boot_reader *reader,
				 const struct yaml *at)
{
	int role = boot_word(at, boot_roles,
			     sizeof(boot_roles) / sizeof(boot_roles[0]));

	if (role < 0)
		return boot_refuse(reader, at,
				   "all, entry or control is needed");
	reader->boot->role = (enum boot_role)role;
	return RESULT_OK;
}

static enum result boot_set(struct boot_reader *reader,
			    const struct boot_key *key, const struct yaml *at)
{
	switch (key->type) {
	case BOOT_ROLE:
		return boot_set_role(reader, at);
	case BOOT_FLAG:
		if (!yaml_bool(at,
			       (bool *)((char *)reader->boot + key->offset)))
			return boot_refuse(reader, at,
					   "true or false is needed");
		return RESULT_OK;
	case BOOT_NUMBER:
		return boot_set_number(reader, key, at);
	case BOOT_SHARE:
		return boot_set_share(reader, key, at);
	case BOOT_LEVEL:
		return boot_set_level(reader, at);
	case BOOT_NAME:
	case BOOT_PATH:
	case BOOT_ADDRESS:
		break;
	}
	return boot_set_text(reader, key, at);
}

static bool boot_same_section(const char *a, const char *b)
{
	return (!a && !b) || (a && b && !strcmp(a, b));
}

static const struct boot_key *boot_find_key(const char *section,
					    const char *name)
{
	size_t i;

	for (i = 0; i < boot_keys_count; i++)
		if (boot_same_section(boot_keys[i].section, section) &&
		    !strcmp(boot_keys[i].name, name))
			return &boot_keys[i];
	return NULL;
}

static bool boot_is_section(const char *name)
{
	size_t i;

	for (i = 0; i < boot_keys_count; i++)
		if (boot_keys[i].section && !strcmp(boot_keys[i].section, name))
			return true;
	return false;
}

static enum result boot_unknown(struct boot_reader *reader, const char *section,
				const struct yaml *at)
{
	struct bytes allowed = { 0 };
	enum result code;
	size_t i;

	for (i = 0; i < boot_keys_count; i++)
		if (boot_same_section(boot_keys[i].section, section))
			bytes_append_format(&allowed, " %s", boot_keys[i].name);
	if (!section)
		bytes_append_text(
			&allowed,
			" backends cluster keys listen limits log peers "
			"reach regions retries seeds tls usage");
	code = error_report(reader->handler, RESULT_SETTING_UNKNOWN,
			    "%s:%d: %s: no such key; allowed are:%s",
			    reader->name, at->line, at->key,
			    bytes_text(&allowed));
	bytes_clear(&allowed);
	return code;
}

/* A list of addresses, up to BOOT_MAX_PEERS of them. */
static enum result boot_read_list(struct boot_reader *reader,
				  const struct yaml *at, char **list, int *n)
{
	const struct yaml *peer;
	char ip[64];
	int port;

	if (at->kind != YAML_LIST)
		return boot_refuse(reader, at, "a list of IP:port is needed");
	yaml_foreach(peer, at) {
		if (peer->kind != YAML_SCALAR ||
		    !boot_split_address(peer->text, ip, &port))
			return boot_refuse(reader, peer,
					   "each peer is IP:port");
		if (*n == BOOT_MAX_PEERS)
			return boot_refuse(reader, at,
					   "16 peers are allowed at most");
		list[(*n)++] = xstrdup(peer->text);
	}
	return RESULT_OK;
}

/* Zones with the region of each; nothing where there are none. */
static enum result boot_read_regions(struct boot_reader *reader,
				     const struct yaml *map)
{
	const struct yaml *at;

	if (map->kind == YAML_SCALAR && !map->text[0])
		return RESULT_OK;
	if (map->kind != YAML_MAP)
		return boot_refuse(reader, map,
				   "zones with their regions are needed");
	yaml_foreach(at, map) {
		if (at->kind != YAML_SCALAR || !boot_is_name(at->text) ||
		    !boot_is_name(at->key))
			return boot_refuse(reader, at,
					   "zone: region is needed");
		if (!regions_set(&reader->boot->regions, at->key, at->text))
			return boot_refuse(reader, at,
					   "63 zones are allowed at most");
	}
	return RESULT_OK;
}

static enum result boot_read_section(struct boot_reader *reader,
				     const char *section,
				     const struct yaml *map)
{
	const struct yaml *at;

	if (map->kind != YAML_MAP)
		return boot_refuse(reader, map, "keys with values are needed");
	yaml_foreach(at, map) {
		const struct boot_key *key = boot_find_key(section, at->key);
		enum result code;

		if (key)
			code = boot_set(reader, key, at);
		else if (!section && !strcmp(at->key, "peers"))
			code = boot_read_list(reader, at, reader->boot->peers,
					      &reader->boot->n_peers);
		else if (!section && !strcmp(at->key, "seeds"))
			code = boot_read_list(reader, at, reader->boot->seeds,
					      &reader->boot->n_seeds);
		else if (!section && !strcmp(at->key, "regions"))
			code = boot_read_regions(reader, at);
		else if (!section && boot_is_section(at->key))
			code = boot_read_section(reader, at->key, at);
		else
			code = boot_unknown(reader, section, at);
		if (code)
			return code;
	}
	return RESULT_OK;
}

static enum result boot_check(struct boot_reader *reader)
{
	const struct boot *boot = reader->boot;
	size_t i;

	for (i = 0; i < boot_keys_count; i++) {
		const struct boot_key *key = &boot_keys[i];

		if (key->required & 1u << boot->role &&
		    !*(char *const *)((const char *)boot + key->offset))
			return error_report(reader->handler,
					    RESULT_SETTING_VALUE,
					    "%s: %s%s%s is missing",
					    reader->name,
					    key->section ? key->section : "",
					    key->section ? "." : "", key->name);
	}
	if (boot->bootstrap && !boot->data_folder)
		return error_report(reader->handler, RESULT_SETTING_VALUE,
				    "%s: bootstrap needs a data_folder",
				    reader->name);
	if (boot->role == BOOT_ROLE_ALL && !boot->bootstrap &&
	    !boot->data_folder && !boot->n_peers)
		return error_report(reader->handler, RESULT_SETTING_VALUE,
				    "%s: without bootstrap, peers are needed "
				    "to join by",
				    reader->name);
	if (!boot->tls_certificate != !boot->tls_key)
		return error_report(reader->handler, RESULT_SETTING_VALUE,
				    "%s: tls needs both certificate and key",
				    reader->name);
	return RESULT_OK;
}

/*
 * A request may be on its way to a server when its key's time is over, and
 * the time that a VM counts for itself may be behind by a timer's lateness.
 */
#define BOOT_FRESH_MARGIN_MS 500

/* Knowledge of keys is too old somewhat before a withdrawn key must be dead. */
static void boot_set_fresh(struct boot *boot)
{
	int64_t margin_ms = BOOT_FRESH_MARGIN_MS;

	if (margin_ms > boot->withdrawn_ms / 2)
		margin_ms = boot->withdrawn_ms / 2;
	if (!boot->fresh_ms)
		boot->fresh_ms = boot->withdrawn_ms - margin_ms;
}

static void boot_set_fallbacks(struct boot *boot)
{
	size_t i;

	memset(boot, 0, sizeof(*boot));
	boot->log_level = LOG_INFO;
	boot->retry_share = BOOT_RETRY_SHARE;
	for (i = 0; i < boot_keys_count; i++)
		if (boot_keys[i].type == BOOT_NUMBER)
			*(int64_t *)((char *)boot + boot_keys[i].offset) =
				boot_keys[i].fallback;
}

enum result boot_parse(struct boot *boot, const char *name, const char *text,
		       size_t len, const struct error_handler *handler)
{
	struct boot_reader reader = { boot, name, handler };
	cleanup(yaml_cleanup) struct yaml *root = NULL;
	enum result code;

	boot_set_fallbacks(boot);
	code = yaml_parse(&root, name, text, len, handler);
	if (!code)
		code = boot_read_section(&reader, NULL, root);
	if (!code)
		code = boot_check(&reader);
	if (code)
		boot_clear(boot);
	else
		boot_set_fresh(boot);
	return code;
}

enum result boot_load(struct boot *boot, const char *path,
		      const struct error_handler *handler)
{
	struct bytes content = { 0 };
	enum result code;

	boot_set_fallbacks(boot);
	code = file_read(&content, path, BOOT_FILE_LIMIT, handler);
	if (!code)
		code = boot_parse(boot, path, bytes_text(&content), content.len,
				  handler);
	bytes_clear(&content);
	return code;
}

void boot_clear(struct boot *boot)
{
	size_t i;
	int peer;

	for (i = 0; i < boot_keys_count; i++) {
		enum boot_type type = boot_keys[i].type;

		if (type == BOOT_NAME || type == BOOT_PATH ||
		    type == BOOT_ADDRESS)
			free(*(char **)((char *)boot + boot_keys[i].offset));
	}
	for (peer = 0; peer < boot->n_peers; peer++)
		free(boot->peers[peer]);
	for (peer = 0; peer < boot->n_seeds; peer++)
		free(boot->seeds[peer]);
	memset(boot, 0, sizeof(*boot));
}
