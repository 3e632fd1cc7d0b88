#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"

/* Read a head as the listener does. */
static struct http_head *head_of(struct http_parse *parse,
				 enum http_parser_type type, const char *text)
{
	static const struct http_parse_hooks hooks = { NULL, NULL };
	struct bytes in = { 0 };

	http_parse_init(parse, type, 65536, &hooks, NULL);
	bytes_append_text(&in, text);
	g_assert_cmpint(http_parse_feed(parse, &in), !=, HTTP_PARSE_BAD);
	bytes_clear(&in);
	return &parse->head;
}

static const char request_text[] =
	"POST /lohu/2f?x=1 HTTP/1.1\r\nHost: ficu.example\r\n"
	"Filberthall-Attempt-Id: 9c41\r\nFilberthall-Model: m\r\n"
	"Filberthall-Token-Count: 1460,80\r\n"
	"Filberthall-Prefix-Hash: 5c:800,91:410,e4:250\r\n"
	"Filberthall-Deadline-Ms: 10000\r\nAuthorization: bearer  secret\r\n"
	"Connection: x-hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"
	"Filberthall-Tenant: forged\r\nfilberthall-hold: forged\r\n"
	"Kv-From: forged\r\nFilberthall-Request-Urgency: 0\r\n"
	"Content-Length: 0\r\n\r\n";

static void test_read_request(void)
{
	struct dialect_request request = { 0 };
	struct http_parse parse;

	platform_read_request(head_of(&parse, HTTP_REQUEST, request_text),
			      &request);
	g_assert_cmpstr(request.id, ==, "9c41");
	g_assert_cmpstr(request.host, ==, "ficu.example");
	g_assert_cmpstr(request.key, ==, "secret");
	g_assert_cmpint(request.prompt_tokens, ==, 1460);
	g_assert_cmpint(request.shared_tokens, ==, 1210);
	g_assert_cmpint(request.output_tokens, ==, 80);
	g_assert_cmpint(request.deadline_ms, ==, 10000);
	g_assert_cmpuint(request.prefix_hash, !=, 0);
	g_assert_cmpint((int)request.n_parts, ==, 2);
	g_assert_cmpuint(request.parts[0], ==, map_hash("5c", 2));
	g_assert_cmpuint(request.parts[1], ==, map_hash("91", 2));
	free(request.parts);
	free(request.key);
	http_parse_clear(&parse);
}

/*
 * A caller sets headers that are ours to set: its request would run for
 * another organisation, from another request's memory, or ahead of others.
 * And the key itself is nobody's but ours.
 */
static void test_write_request(void)
{
	struct dialect_forward forward = { .organisation = "hule",
					   .server = "i-7f",
					   .urgency = 1,
					   .wait_ms = 900 };
	struct bytes out = { 0 };
	struct http_parse parse;
	const char *text;

	platform_write_request(head_of(&parse, HTTP_REQUEST, request_text),
			       &forward, &out);
	text = bytes_text(&out);
	g_assert_true(g_str_has_prefix(text, "POST /lohu/2f?x=1 HTTP/1.1\r\n"));
	g_assert_nonnull(strstr(text, "X-Kept: 2\r\n"));
	g_assert_nonnull(strstr(text, "Filberthall-Attempt-Id: 9c41\r\n"));
	g_assert_nonnull(strstr(text, "Filberthall-Deadline-Ms: 900\r\n"));
	g_assert_nonnull(strstr(text, "Filberthall-Tenant: hule\r\n"));
	g_assert_nonnull(strstr(text, "Filberthall-Target-Instance: i-7f\r\n"));
	g_assert_nonnull(strstr(text, "Filberthall-Request-Urgency: 1\r\n"));
	g_assert_null(strstr(text, "forged"));
	g_assert_null(strstr(text, "secret"));
	g_assert_null(strstr(text, "X-Hop"));
	g_assert_true(g_str_has_suffix(text, "\r\n\r\n"));
	bytes_clear(&out);
	http_parse_clear(&parse);
}

/* A request that is passed on loses its key, or is passed on for ever. */
static void test_pass_request(void)
{
	struct dialect_forward forward = { .resume_after = "7",
					   .resumes = "9c41",
					   .wait_ms = 900 };
	struct dialect_request request = { 0 };
	struct bytes passed = { 0 };
	struct bytes out = { 0 };
	struct http_parse parse;
	struct http_head *head;

	head = head_of(&parse, HTTP_REQUEST, request_text);
	platform_read_request(head, &request);
	g_assert_false(request.passed_on);
	free(request.parts);
	free(request.key);
	platform_write_passed(head, &forward, &passed);
	http_parse_clear(&parse);
	head = head_of(&parse, HTTP_REQUEST, bytes_text(&passed));
	memset(&request, 0, sizeof(request));
	platform_read_request(head, &request);
	g_assert_true(request.passed_on);
	g_assert_cmpstr(request.key, ==, "secret");
	g_assert_cmpint(request.deadline_ms, ==, 900);
	g_assert_cmpstr(request.last_event, ==, "7");
	g_assert_cmpstr(request.resumes, ==, "9c41");
	g_assert_null(strstr(bytes_text(&passed), "X-Hop"));
	forward.organisation = "hule";
	forward.resume_after = NULL;
	platform_write_request(head, &forward, &out);
	g_assert_null(strstr(bytes_text(&out), "Via"));
	g_assert_null(strstr(bytes_text(&out), "secret"));
	g_assert_null(strstr(bytes_text(&out), "forged"));
	free(request.parts);
	free(request.key);
	bytes_clear(&passed);
	bytes_clear(&out);
	http_parse_clear(&parse);
}

static bool is_unreadable(const char *lines)
{
	g_autofree char *text =
		g_strdup_printf("POST /a HTTP/1.1\r\nHost: a\r\n%s\r\n", lines);
	struct dialect_request request = { 0 };
	struct http_parse parse;

	platform_read_request(head_of(&parse, HTTP_REQUEST, text), &request);
	http_parse_clear(&parse);
	return request.unreadable;
}

/* A stream is resumed by a header that is read in two ways. */
static void test_read_resumes(void)
{
	struct dialect_request request = { 0 };
	struct http_parse parse;

	platform_read_request(head_of(&parse, HTTP_REQUEST,
				      "POST /a HTTP/1.1\r\nHost: a\r\n"
				      "Last-Event-Id: 7\r\n"
				      "resumes: 9c41\r\n\r\n"),
			      &request);
	g_assert_cmpstr(request.last_event, ==, "7");
	g_assert_cmpstr(request.resumes, ==, "9c41");
	g_assert_false(request.unreadable);
	http_parse_clear(&parse);
	g_assert_false(is_unreadable(""));
	g_assert_true(is_unreadable("Resumes: a\r\nResumes: b\r\n"));
	g_assert_true(is_unreadable("Resumes: a b\r\n"));
	g_assert_true(
		is_unreadable("Last-Event-Id: 1\r\nLast-Event-Id: 2\r\n"));
}

static void test_read_answer(void)
{
	struct dialect_answer answer;
	struct http_parse parse;

	platform_read_answer(
		head_of(&parse, HTTP_RESPONSE,
			"HTTP/1.1 200 OK\r\nFilberthall-Server-Signature: s\r\n"
			"Filberthall-Server-Load: 3,1,8\r\n\r\n"),
		&answer);
	g_assert_true(answer.signed_off);
	g_assert_false(answer.not_run);
	g_assert_true(answer.has_load);
	g_assert_cmpint(answer.waiting, ==, 1);
	g_assert_false(answer.has_limit);
	http_parse_clear(&parse);
	platform_read_answer(head_of(&parse, HTTP_RESPONSE,
				     "HTTP/1.1 503 X\r\nServer-Limit: 1.5\r\n"
				     "Server-Brittle: 6\r\n"
				     "Filberthall-Not-Executed: 1\r\n\r\n"),
			     &answer);
	g_assert_true(answer.has_limit);
	g_assert_cmpfloat(answer.limit_per_s, ==, 1.5);
	g_assert_true(answer.has_reject_limit);
	g_assert_cmpfloat(answer.rejects_per_s, ==, 6);
	http_parse_clear(&parse);
	platform_read_answer(head_of(&parse, HTTP_RESPONSE,
				     "HTTP/1.1 200 X\r\nServer-Limit: -2\r\n"
				     "\r\n"),
			     &answer);
	g_assert_false(answer.has_limit);
	http_parse_clear(&parse);
	platform_read_answer(
		head_of(&parse, HTTP_RESPONSE,
			"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"),
		&answer);
	g_assert_true(answer.not_run);
	g_assert_true(answer.elsewhere);
	http_parse_clear(&parse);
	platform_read_answer(
		head_of(&parse, HTTP_RESPONSE,
			"HTTP/1.1 500 X\r\nContent-Encoding: gzip\r\n\r\n"),
		&answer);
	g_assert_false(answer.not_run);
	g_assert_true(answer.encoded);
	http_parse_clear(&parse);
}

static int refusal(enum result code, enum run_state run, int64_t retry_ms,
		   const char *expected)
{
	struct bytes headers = { 0 };
	int status =
		platform_write_refusal("9c41", code, run, retry_ms, &headers);

	g_assert_cmpstr(bytes_text(&headers), ==, expected);
	bytes_clear(&headers);
	return status;
}

#define ID "Filberthall-Attempt-Id: 9c41\r\n"

/* 503 says "not run"; whatever may have run must not be answered with it. */
static void test_refusals(void)
{
	g_assert_cmpint(refusal(RESULT_QUEUE_FULL, RUN_NOT, 250,
				ID "Retry-After: 0.250\r\n"),
			==, 503);
	g_assert_cmpint(refusal(RESULT_EXPIRED, RUN_NOT, 0,
				ID "Retry-After: 1.000\r\n"),
			==, 503);
	g_assert_cmpint(refusal(RESULT_NO_ROUTE, RUN_NOT, 0, ID), ==, 404);
	g_assert_cmpint(refusal(RESULT_KEY_UNKNOWN, RUN_NOT, 0, ID), ==, 401);
	g_assert_cmpint(refusal(RESULT_EXPIRED, RUN_UNKNOWN, 0, ID), ==, 504);
	g_assert_cmpint(refusal(RESULT_BACKEND_BROKE, RUN_UNKNOWN, 0, ID), ==,
			502);
	g_assert_cmpint(refusal(RESULT_BACKEND_ERROR, RUN_RAN, 0, ID), ==, 502);
	g_assert_cmpint(refusal(RESULT_RETRY_BUDGET, RUN_UNKNOWN, 0, ID), ==,
			502);
}

static const char document_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"f.example\","
	"\"path_prefix\":\"/pufi/\",\"type\":\"streaming\",\"timeout_ms\":6000,"
	"\"latency_goal_ms\":1000,\"priority\":1,\"service\":\"s1\","
	"\"max_attempts\":2,\"resumable\":true,\"target_itl_ms\":800,"
	"\"allowed_regions\":[\"north\",\"south\"]},"
	"{\"name\":\"r2\",\"host\":\"f.example\",\"path_prefix\":\"/lohu/\","
	"\"type\":\"non_idempotent\",\"timeout_ms\":900,\"public\":true,"
	"\"split\":[{\"service\":\"s1\",\"weight\":90},"
	"{\"service\":\"s2\",\"weight\":10}]}],"
	"\"services\":[{\"name\":\"s1\",\"max_conns\":360,"
	"\"cold_start_s\":2.5,\"cold_per_s\":9.5,"
	"\"backend\":{\"slots\":64,\"kv_capacity\":362531},"
	"\"scaling\":{\"min\":1,\"max\":8,\"boot_time_s\":4.0,"
	"\"spot_price\":0.15,\"zone_prices\":{\"a\":1.0,\"b\":0.8}}},"
	"{\"name\":\"s2\"}],\"limits\":{\"max_body_bytes\":1000},"
	"\"tenants\":[{\"name\":\"hule\",\"api_keys\":[\"k1\",\"k2\"],"
	"\"allowed_regions\":[\"south\"],"
	"\"priority\":2}]}";

static void test_document(void)
{
	struct document *document =
		platform_read_document(document_text, strlen(document_text),
				       NULL);
	const struct service *service;
	const struct route *route;

	g_assert_nonnull(document);
	g_assert_cmpint(document->version, ==, 7);
	g_assert_cmpint(document->limits.body_bytes, ==, 1000);
	route = document_route(document, "f.example", "/pufi/2f");
	g_assert_cmpint(route->kind, ==, ROUTE_STREAM);
	g_assert_true(route->resumable);
	g_assert_cmpint(route->pause_ms, ==, 800);
	g_assert_cmpint(route->attempts, ==, 2);
	g_assert_cmpuint(route->n_regions, ==, 2);
	g_assert_cmpstr(route->regions[0], ==, "north");
	g_assert_cmpuint(document->organisations[0].n_regions, ==, 1);
	route = document_route(document, "f.example", "/lohu/");
	g_assert_cmpint(route->kind, ==, ROUTE_ONCE);
	g_assert_true(route->open);
	g_assert_cmpuint(route->n_splits, ==, 2);
	service = document_service(document, "s1");
	g_assert_cmpint(service->cold_ms, ==, 2500);
	g_assert_cmpfloat(service->cold_per_s, ==, 9.5);
	g_assert_cmpfloat(document_service(document, "s2")->cold_per_s, ==, 0);
	g_assert_cmpint(service->scaling.most, ==, 8);
	g_assert_cmpint(service->scaling.boot_ms, ==, 4000);
	g_assert_cmpuint(service->scaling.n_zones, ==, 2);
	g_assert_cmpint(document_organisation_by_key(document, "k2")->tier, ==,
			2);
	document_free(document);
}

/* A document that is cut short anywhere is never obeyed in part. */
static void test_cut_short(void)
{
	size_t len;

	for (len = 0; len < strlen(document_text); len++)
		g_assert_null(platform_read_document(document_text, len, NULL));
}

static void test_bad_documents(void)
{
	static const char *const texts[] = {
		"[]",
		"{}",
		"{\"version\":0,\"routes\":[],\"services\":[]}",
		"{\"version\":\"7\",\"routes\":[],\"services\":[]}",
		"{\"version\":7,\"routes\":{},\"services\":[]}",
		"{\"version\":7,\"routes\":[{}],\"services\":[]}",
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"path_prefix\":\"/\",\"type\":\"other\",\"timeout_ms\":1,"
		"\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}",
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"path_prefix\":\"/\",\"type\":\"idempotent\","
		"\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}",
		"{\"version\":7,\"routes\":[],\"services\":[],"
		"\"tenants\":[{\"name\":\"t\",\"api_keys\":[],"
		"\"allowed_regions\":[1]}]}",
		"{\"version\":7,\"routes\":[],\"services\":[],"
		"\"tenants\":[{\"name\":\"t\",\"api_keys\":[],"
		"\"allowed_regions\":\"north\"}]}",
		"{\"version\":7,\"routes\":[],\"services\":[],"
		"\"tenants\":[{\"name\":\"t\",\"api_keys\":[1]}]}",
		"{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":{}}",
		"{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":null}",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_null(platform_read_document(texts[i], strlen(texts[i]),
						     NULL));
}

static bool needs_keys(const char *text)
{
	struct document *document =
		platform_read_document(text, strlen(text), NULL);
	bool keyed;

	g_assert_nonnull(document);
	keyed = document->keyed;
	document_free(document);
	return keyed;
}

/* A list of organisations that is empty turns the check of keys off. */
static void test_no_organisation_left(void)
{
	g_assert_true(needs_keys("{\"version\":7,\"routes\":[],"
				 "\"services\":[],\"tenants\":[]}"));
	g_assert_false(needs_keys("{\"version\":7,\"routes\":[],"
				  "\"services\":[]}"));
}

static enum result take(const char *text, struct registration *told)
{
	return platform_read_registration("i-7f", text, strlen(text), told,
					  NULL);
}

static void test_registration(void)
{
	struct registration told;

	g_assert_cmpint(
		take("{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
		     "\"zone\":\"a\",\"slots\":64,\"state\":\"draining\","
		     "\"version\":\"v1.2\",\"sequence\":4,\"born\":17,\"spot_enabled\":true,"
		     "\"leaves_ms\":2300.5,\"cold_remaining_ms\":1200}",
		     &told),
		==, RESULT_OK);
	g_assert_cmpstr(told.id, ==, "i-7f");
	g_assert_true(told.leaving);
	g_assert_true(told.cheap);
	g_assert_cmpint(told.started_ms, ==, 17);
	g_assert_cmpint(told.leaves_ms, ==, 2300);
	g_assert_cmpint(told.cold_ms, ==, 1200);
	g_assert_cmpstr(told.version, ==, "v1.2");
}

static void take_version(const char *version, struct registration *told)
{
	g_autofree char *text = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
		"\"zone\":\"a\",\"state\":\"ready\",\"version\":\"%s\","
		"\"sequence\":4}",
		version);

	g_assert_cmpint(take(text, told), ==, RESULT_OK);
}

/* Two long versions that differ at their ends pass for the same. */
static void test_long_versions(void)
{
	g_autofree char *one = g_strnfill(200, 'v');
	g_autofree char *other = g_strnfill(200, 'v');
	struct registration a;
	struct registration b;

	other[199] = 'w';
	take_version(one, &a);
	take_version(other, &b);
	g_assert_cmpstr(a.version, !=, b.version);
	take_version(one, &b);
	g_assert_cmpstr(a.version, ==, b.version);
}

static void take_service(const char *service, const char *zone,
			 struct registration *told)
{
	g_autofree char *text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"10.0.0.9:80\","
		"\"zone\":\"%s\",\"state\":\"ready\",\"sequence\":4}",
		service, zone);

	g_assert_cmpint(take(text, told), ==, RESULT_OK);
}

/* Servers of a service whose name is long are refused, or taken for another's. */
static void test_long_services(void)
{
	g_autofree char *one = g_strnfill(64, 's');
	g_autofree char *other = g_strnfill(64, 's');
	g_autofree char *text = NULL;
	struct registration a;
	struct registration b;
	struct document *document;

	other[63] = 't';
	take_service(one, other, &a);
	take_service(other, one, &b);
	g_assert_cmpstr(a.service, !=, b.service);
	g_assert_cmpstr(a.zone, !=, b.zone);
	text = g_strdup_printf("{\"version\":7,\"routes\":[],\"services\":["
			       "{\"name\":\"%s\"},{\"name\":\"%s\"}]}",
			       one, other);
	document = platform_read_document(text, strlen(text), NULL);
	g_assert_nonnull(document);
	g_assert_cmpstr(document_service(document, a.service)->full_name, ==,
			one);
	g_assert_cmpstr(document_service(document, b.service)->full_name, ==,
			other);
	document_free(document);
}

/* What its numbers and flags say; its text is gone. */
static struct dialect_answer answer_of(const char *head)
{
	struct dialect_answer answer;
	struct http_parse parse;

	platform_read_answer(head_of(&parse, HTTP_RESPONSE, head), &answer);
	http_parse_clear(&parse);
	return answer;
}

static bool says_leaving(const char *head)
{
	return answer_of(head).leaving;
}

/* A server that leaves says so to VMs; callers aren't told. */
static void test_leaving(void)
{
	const char *head = "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"
			   "Server-Limit: 2\r\nServer-Brittle: 3\r\n"
			   "Filberthall-Server-Load: 3,1,8\r\nX: y\r\n\r\n";
	struct bytes out = { 0 };
	struct http_parse parse;

	g_assert_true(says_leaving(head));
	g_assert_true(says_leaving("HTTP/1.1 503 X\r\n"
				   "server-leaving: 1\r\n\r\n"));
	g_assert_false(says_leaving("HTTP/1.1 200 OK\r\n\r\n"));
	g_assert_false(says_leaving("HTTP/1.1 200 OK\r\n"
				    "Server-Leaving: 0\r\n\r\n"));
	platform_write_answer(head_of(&parse, HTTP_RESPONSE, head), &out);
	g_assert_cmpstr(bytes_text(&out), ==, "X: y\r\n");
	http_parse_clear(&parse);
	bytes_clear(&out);
}

static int64_t retry_after_of(const char *head)
{
	return answer_of(head).retry_after_us;
}

/* What a server asks for in a head that can be misread. */
static void test_retry_after(void)
{
	static const struct {
		const char *value;
		int64_t us;
	} cases[] = {
		{ "3", 3000000 },
		{ "1.5", 1500000 },
		{ "0.25", 250000 },
		{ "0", 0 },
		{ "-3", 0 },
		{ "+3", 0 },
		{ "", 0 },
		{ ".", 0 },
		{ "1.2.3", 0 },
		{ "3 s", 0 },
		{ "1e3", 0 },
		{ "0x10", 0 },
		{ "inf", 0 },
		{ "nan", 0 },
		{ "soon", 0 },
		{ "Fri, 04 Dec 2026 10:00:00 GMT", 0 },
		{ "99999999999999999999", INT64_C(1) << 50 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *head = g_strdup_printf("HTTP/1.1 503 X\r\n"
					     "Retry-After: %s\r\n\r\n",
					     cases[i].value);

		g_assert_cmpint(retry_after_of(head), ==, cases[i].us);
		g_free(head);
	}
	g_assert_cmpint(retry_after_of("HTTP/1.1 503 X\r\n\r\n"), ==, 0);
	g_assert_cmpint(retry_after_of("HTTP/1.1 503 X\r\nretry-after: 1\r\n"
				       "Retry-After: 4\r\nRetry-After: x\r\n"
				       "\r\n"),
			==, 4000000);
	g_assert_cmpint(retry_after_of("HTTP/1.1 200 X\r\n"
				       "Retry-After: 4\r\n\r\n"),
			==, 0);
	g_assert_cmpint(retry_after_of("HTTP/1.1 429 X\r\n"
				       "Retry-After: 4\r\n\r\n"),
			==, 0);
}

/* Others write there as well; what isn't whole names no server to use. */
/* Numbers without bounds overflowed once they were taken in microseconds. */
static void test_huge_numbers(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"path_prefix\":\"/\",\"type\":\"idempotent\","
		"\"timeout_ms\":1e300,\"latency_goal_ms\":-1e300,"
		"\"service\":\"s\"}],\"services\":[{\"name\":\"s\","
		"\"scaling\":{\"boot_time_s\":1e300}}]}";
	struct document *document =
		platform_read_document(text, strlen(text), NULL);
	struct registration told;

	g_assert_nonnull(document);
	g_assert_cmpint(document->routes[0].timeout_ms, ==, INT64_C(1) << 50);
	g_assert_cmpint(document->routes[0].goal_ms, ==, -(INT64_C(1) << 50));
	g_assert_cmpint(document->services[0].scaling.boot_ms, ==, 0);
	document_free(document);
	g_assert_cmpint(take("{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
			     "\"zone\":\"a\",\"state\":\"ready\","
			     "\"sequence\":1e300}",
			     &told),
			==, RESULT_BAD_REQUEST);
}

static void test_foreign_registrations(void)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{\"service\":\"s\"}",
		"{\"service\":7,\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
		"\"state\":\"ready\",\"sequence\":4}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
		"\"state\":\"ready\",\"version\":7,\"sequence\":4}",
		"{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"a\","
		"\"state\":\"ready\",\"sequence\":4}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
		"\"state\":\"odd\",\"sequence\":4}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
		"\"state\":\"ready\",\"sequence\":\"4\"}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
		"\"state\":\"ready\",\"sequence\":-1}",
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","
		"\"state\":\"ready\",\"sequence\":4,\"slots\":\"many\"}",
		"\xff\xfe",
	};
	struct registration told;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_cmpint(take(texts[i], &told), ==, RESULT_BAD_REQUEST);
}

static void check_order(const char *verb, const char *body,
			const char *expected)
{
	struct effect_platform_call call = { .verb = (char *)verb,
					     .fence = 12 };
	struct bytes out = { 0 };

	bytes_append_text(&call.body, body);
	g_assert_cmpint(platform_write_call(&call, "vm-1", "10.0.0.1:80", &out),
			==, RESULT_OK);
	g_assert_nonnull(
		strstr(bytes_text(&out), "Filberthall-Duty-Holder: vm-1\r\n"));
	g_assert_nonnull(
		strstr(bytes_text(&out), "Filberthall-Fencing-Token: 12\r\n"));
	g_assert_true(g_str_has_suffix(bytes_text(&out), expected));
	bytes_clear(&call.body);
	bytes_clear(&out);
}

static void test_orders(void)
{
	check_order("report", "{\"window\":5,\"counts\":{\"hule\":41}}",
		    "\r\n\r\n{\"counts\":{\"hule\":41},\"window_id\":5}");
	check_order("size",
		    "{\"service\":\"s\",\"zone\":\"a\",\"servers\":6,"
		    "\"cheap\":true}",
		    "\r\n\r\n{\"desired\":6,\"service\":\"s\","
		    "\"spot_enabled\":true,\"zone\":\"a\"}");
	check_order("size",
		    "{\"service\":\"s\",\"zone\":\"a\",\"servers\":0,"
		    "\"cheap\":false}",
		    "\r\n\r\n{\"desired\":0,\"service\":\"s\",\"zone\":\"a\"}");
	g_assert_cmpint(platform_read_status(200), ==, RESULT_OK);
	g_assert_cmpint(platform_read_status(409), ==, RESULT_PLATFORM_REFUSED);
	g_assert_cmpint(platform_read_status(429), ==, RESULT_PLATFORM_UNKNOWN);
}

static void check_call(const char *line, enum dialect_call_kind kind,
		       const char *server)
{
	char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: h\r\n\r\n", line);
	struct dialect_call call = { 0 };
	struct http_parse parse;

	platform_dialect()->read_call(head_of(&parse, HTTP_REQUEST, text),
				      &call);
	g_assert_cmpint(call.kind, ==, kind);
	if (server)
		g_assert_cmpstr(call.server, ==, server);
	g_free(text);
	http_parse_clear(&parse);
}

static void test_calls(void)
{
	check_call("PUT /filberthall/config", CALL_PUT_DOCUMENT, NULL);
	check_call("GET /filberthall/config", CALL_GET_DOCUMENT, NULL);
	check_call("PUT /filberthall/instances/i-7f", CALL_REGISTER, "i-7f");
	check_call("DELETE /filberthall/instances/i-7f", CALL_UNREGISTER,
		   "i-7f");
	check_call("PUT /filberthall/instances/", CALL_UNKNOWN, NULL);
	check_call("PUT /filberthall/instances/a/b", CALL_UNKNOWN, NULL);
	check_call("POST /filberthall/config", CALL_UNKNOWN, NULL);
	check_call("GET /", CALL_UNKNOWN, NULL);
}

static struct dialect_call call_of(const char *text)
{
	struct dialect_call call = { 0 };
	struct http_parse parse;

	platform_dialect()->read_call(head_of(&parse, HTTP_REQUEST, text),
				      &call);
	http_parse_clear(&parse);
	return call;
}

/* An evacuation is answered as an unknown path, or names another zone. */
static void test_evacuation_calls(void)
{
	struct dialect_call call;

	call = call_of("POST /filberthall/evacuations/hobart-a HTTP/1.1\r\n"
		       "Host: c\r\nContent-Length: 0\r\n\r\n");
	g_assert_cmpint(call.kind, ==, CALL_EVACUATE);
	g_assert_cmpstr(call.zone, ==, "hobart-a");
	call = call_of("DELETE /filberthall/evacuations/hobart-a HTTP/1.1\r\n"
		       "Host: c\r\n\r\n");
	g_assert_cmpint(call.kind, ==, CALL_RETURN_ZONE);
	call = call_of("POST /filberthall/evacuations/ HTTP/1.1\r\n"
		       "Host: c\r\nContent-Length: 0\r\n\r\n");
	g_assert_cmpint(call.kind, ==, CALL_UNKNOWN);
	call = call_of("POST /filberthall/evacuations/a/b HTTP/1.1\r\n"
		       "Host: c\r\nContent-Length: 0\r\n\r\n");
	g_assert_cmpint(call.kind, ==, CALL_UNKNOWN);
	call = call_of("PUT /filberthall/evacuations/a HTTP/1.1\r\n"
		       "Host: c\r\nContent-Length: 0\r\n\r\n");
	g_assert_cmpint(call.kind, ==, CALL_UNKNOWN);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/read-request", test_read_request);
	g_test_add_func("/platform/write-request", test_write_request);
	g_test_add_func("/platform/pass-request", test_pass_request);
	g_test_add_func("/platform/read-resumes", test_read_resumes);
	g_test_add_func("/platform/long-versions", test_long_versions);
	g_test_add_func("/platform/read-answer", test_read_answer);
	g_test_add_func("/platform/long-services", test_long_services);
	g_test_add_func("/platform/refusals", test_refusals);
	g_test_add_func("/platform/document", test_document);
	g_test_add_func("/platform/cut-short", test_cut_short);
	g_test_add_func("/platform/no-organisation-left",
			test_no_organisation_left);
	g_test_add_func("/platform/bad-documents", test_bad_documents);
	g_test_add_func("/platform/registration", test_registration);
	g_test_add_func("/platform/foreign-registrations",
			test_foreign_registrations);
	g_test_add_func("/platform/orders", test_orders);
	g_test_add_func("/platform/calls", test_calls);
	g_test_add_func("/platform/leaving", test_leaving);
	g_test_add_func("/platform/retry-after", test_retry_after);
	g_test_add_func("/platform/huge-numbers", test_huge_numbers);
	g_test_add_func("/platform/evacuation-calls", test_evacuation_calls);
	return g_test_run();
}
