#include <ne_auth.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_utils.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "base/alloc.h"
#include "base/bytes.h"
#include "base/cleanup.h"
#include "base/yaml.h"
#include "cli/cli.h"

#define CLI_CONNECT_S 3

/* A daemon answers within ten seconds but where it is asked to wait. */
#define CLI_READ_S 15
#define CLI_WAIT_S 90
#define CLI_FILE_MOST (16 * 1024 * 1024)

int cli_exit_status(int64_t code)
{
	return (int)(code / 100);
}

int cli_fail(const struct cli *cli, enum result code, const char *format, ...)
{
	va_list args;

	fprintf(stderr, "%s: ", cli->program);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fprintf(stderr, " (%d %s)\n", code, result_name(code));
	return cli_exit_status(code);
}

static void cli_report(void *data, enum result code, const char *message)
{
	cli_fail(data, code, "%s", message);
}

struct error_handler cli_errors(struct cli *cli)
{
	struct error_handler handler = { cli_report, cli };

	return handler;
}

json_t *cli_change_id(void)
{
	cleanup(free_ptr) char *text = NULL;
	uint64_t random[2];

	if (getrandom(random, sizeof(random), 0) != sizeof(random))
		abort();
	text = xstrfmt("cli-%016llx%016llx", (unsigned long long)random[0],
		       (unsigned long long)random[1]);
	return json_string(text);
}

char *cli_read_file(struct cli *cli, const char *path, size_t *len)
{
	struct bytes content = { 0 };
	char buffer[4096];
	FILE *file = strcmp(path, "-") ? fopen(path, "rb") : stdin;
	size_t got;

	if (!file) {
		cli_fail(cli, RESULT_BAD_REQUEST, "%s: can't be opened", path);
		return NULL;
	}
	while ((got = fread(buffer, 1, sizeof(buffer), file)) &&
	       content.len <= CLI_FILE_MOST)
		bytes_append(&content, buffer, got);
	if (file != stdin)
		fclose(file);
	if (content.len > CLI_FILE_MOST) {
		bytes_clear(&content);
		cli_fail(cli, RESULT_BAD_REQUEST, "%s: larger than 16 MB",
			 path);
		return NULL;
	}
	bytes_text(&content);
	if (len)
		*len = content.len;
	return content.data;
}

/* The configuration file gives what the command line didn't. */
static int cli_read_config(struct cli *cli)
{
	cleanup(yaml_cleanup) struct yaml *root = NULL;
	struct error_handler errors = cli_errors(cli);
	const struct yaml *at;
	const struct yaml *server;
	char *text;
	size_t len;

	if (!cli->config || (cli->n_servers && cli->key_file))
		return 0;
	text = cli_read_file(cli, cli->config, &len);
	if (!text)
		return 1;
	if (yaml_parse(&root, cli->config, text, len, &errors)) {
		free(text);
		return 7;
	}
	free(text);
	yaml_foreach(at, root) {
		if (!strcmp(at->key, "key_file") && at->text) {
			if (!cli->key_file)
				cli->key_file = xstrdup(at->text);
		} else if (!strcmp(at->key, "servers")) {
			yaml_foreach(server, at)
				if (cli->n_servers < CLI_MAX_SERVERS &&
				    server->text)
					cli->servers[cli->n_servers++] =
						xstrdup(server->text);
		} else {
			return cli_fail(cli, RESULT_SETTING_UNKNOWN,
					"%s:%d: %s: no such key; allowed are: "
					"servers key_file",
					cli->config, at->line, at->key);
		}
	}
	return 0;
}

static int cli_take_piece(void *data, const char *piece, size_t len)
{
	bytes_append(data, piece, len);
	return 0;
}

/* One try at one server; NULL if it can't be reached. */
static json_t *cli_try(const char *server, const char *path,
		       const char *authorization, const char *body)
{
	cleanup(free_ptr) char *host = xstrdup(server);
	struct bytes answer = { 0 };
	ne_session *session;
	ne_request *request;
	json_t *root = NULL;
	char *colon = strrchr(host, ':');

	if (!colon)
		return NULL;
	*colon = '\0';
	session = ne_session_create("http", host,
				    (unsigned int)strtoul(colon + 1, NULL, 10));
	ne_set_connect_timeout(session, CLI_CONNECT_S);
	ne_set_read_timeout(session,
			    strstr(path, "-wait") ? CLI_WAIT_S : CLI_READ_S);
	request = ne_request_create(session, "POST", path);
	/* neon may send again by itself; the change id makes that harmless. */
	ne_add_request_header(request, "Content-Type", "application/json");
	ne_add_request_header(request, "Authorization", authorization);
	ne_set_request_body_buffer(request, body, strlen(body));
	ne_add_response_body_reader(request, ne_accept_always, cli_take_piece,
				    &answer);
	if (ne_request_dispatch(request) == NE_OK)
		root = json_loadb(answer.data, answer.len, 0, NULL);
	ne_request_destroy(request);
	ne_session_destroy(session);
	bytes_clear(&answer);
	return root;
}

static char *cli_authorization(struct cli *cli)
{
	cleanup(free_ptr) char *key = NULL;

	if (!cli->key_file) {
		cli_fail(cli, RESULT_NO_KEY,
			 "no key: give --key-file FILE, or key_file in the "
			 "configuration");
		return NULL;
	}
	key = cli_read_file(cli, cli->key_file, NULL);
	if (!key)
		return NULL;
	key[strcspn(key, "\r\n")] = '\0';
	return xstrfmt("Bearer %s", key);
}

/* A refusal by HTTP (no such command, no key) has another shape. */
static int64_t cli_answer_code(json_t *answer)
{
	const json_t *error = json_object_get(answer, "error");

	if (!error)
		return json_integer_value(json_object_get(answer, "code"));
	json_object_set(answer, "message", json_object_get(error, "message"));
	return json_integer_value(json_object_get(error, "code"));
}

int cli_call(struct cli *cli, const char *command, json_t *args,
	     json_t **answer)
{
	cleanup(free_ptr) char *authorization = NULL;
	cleanup(free_ptr) char *body = json_dumps(args, JSON_COMPACT);
	cleanup(free_ptr) char *path = xstrfmt("/admin/%s", command);
	int status;
	int i;

	json_decref(args);
	*answer = NULL;
	status = cli_read_config(cli);
	if (status)
		return status;
	authorization = cli_authorization(cli);
	if (!authorization)
		return cli_exit_status(RESULT_NO_KEY);
	if (!cli->n_servers)
		return cli_fail(cli, RESULT_BAD_REQUEST,
				"no daemon named: give --server IP:PORT, or "
				"servers in the configuration");
	ne_sock_init();
	for (i = 0; i < cli->n_servers && !*answer; i++) {
		*answer = cli_try(cli->servers[i], path, authorization, body);
		if (!*answer)
			fprintf(stderr, "%s: %s doesn't answer%s\n",
				cli->program, cli->servers[i],
				i + 1 < cli->n_servers ? ", trying the next"
						       : "");
	}
	if (!*answer)
		return CLI_EXIT_UNREACHABLE;
	return cli_exit_status(cli_answer_code(*answer));
}

int cli_call_and_print(struct cli *cli, const char *command, json_t *args,
		       void (*print)(const json_t *answer))
{
	json_t *answer;
	int status = cli_call(cli, command, args, &answer);

	if (!answer)
		return status;
	if (cli->json) {
		json_dumpf(answer, stdout, JSON_COMPACT);
		putchar('\n');
	} else if (status) {
		const char *message =
			json_string_value(json_object_get(answer, "message"));

		cli_fail(cli, (enum result)cli_answer_code(answer), "%s",
			 message ? message : "refused");
	} else if (print) {
		print(answer);
	} else {
		cli_print_value(answer);
	}
	json_decref(answer);
	return status;
}
