#include <glib.h>
#include <string.h>

#include "bench/answer.h"
#include "fakes/text.h"

#define BODY "{\"prompt\":\"[tokens=5]\"}"

static void take_text(struct answer *answer, const char *text)
{
	char event[256];

	g_snprintf(event, sizeof(event),
		   "data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n",
		   text);
	answer_take(answer, 200, event, strlen(event));
}

static void take_token(struct answer *answer, int64_t index)
{
	char token[TEXT_TOKEN_SIZE];

	text_token(answer->hash, index, token);
	take_text(answer, token);
}

/* Tokens with these indices, then the end. */
static enum answer_verdict judge(const int64_t *tokens, bool done, bool whole)
{
	struct answer answer;
	enum answer_verdict verdict;

	answer_init(&answer, ANSWER_STREAM, BODY, strlen(BODY), 0);
	for (; *tokens >= 0; tokens++)
		take_token(&answer, *tokens);
	if (done)
		answer_take(&answer, 200, "data: [DONE]\n\n", 14);
	verdict = answer_end(&answer, 200, whole);
	answer_clear(&answer);
	return verdict;
}

static void streams_are_judged(void)
{
	const int64_t all[] = { 0, 1, 2, 3, 4, -1 };
	const int64_t gap[] = { 0, 1, 3, 4, -1 };
	const int64_t twice[] = { 0, 1, 1, 2, 3, 4, -1 };
	const int64_t more[] = { 0, 1, 2, 3, 4, 4, -1 };
	const int64_t early[] = { 0, 1, 2, -1 };
	const int64_t strange[] = { 0, 77, -1 };

	g_assert_cmpint(judge(all, true, true), ==, ANSWER_OK);
	g_assert_cmpint(judge(all, false, true), ==, ANSWER_TORN);
	g_assert_cmpint(judge(all, true, false), ==, ANSWER_TORN);
	g_assert_cmpint(judge(gap, true, true), ==, ANSWER_TORN);
	g_assert_cmpint(judge(early, true, true), ==, ANSWER_TORN);
	g_assert_cmpint(judge(twice, true, true), ==, ANSWER_DOUBLED);
	g_assert_cmpint(judge(more, true, true), ==, ANSWER_DOUBLED);
	g_assert_cmpint(judge(strange, true, true), ==, ANSWER_CROSSED);
}

static enum answer_verdict judge_body(enum answer_kind kind, int status,
				      const char *body)
{
	struct answer answer;
	enum answer_verdict verdict;

	answer_init(&answer, kind, BODY, strlen(BODY), 0);
	answer_take(&answer, status, body, strlen(body));
	verdict = answer_end(&answer, status, true);
	answer_clear(&answer);
	return verdict;
}

static void whole_answers_are_judged(void)
{
	char *own = g_strdup_printf("{\"body_hash\":\"%016" G_GINT64_MODIFIER
				    "x\",\"run\":1}",
				    text_hash(BODY, strlen(BODY)));
	char *twice = g_strdup_printf("{\"body_hash\":\"%016" G_GINT64_MODIFIER
				      "x\",\"run\":2}",
				      text_hash(BODY, strlen(BODY)));

	g_assert_cmpint(judge_body(ANSWER_SERVICE, 200, own), ==, ANSWER_OK);
	g_assert_cmpint(judge_body(ANSWER_SERVICE, 200, twice), ==,
			ANSWER_DOUBLED);
	g_assert_cmpint(judge_body(ANSWER_SERVICE, 200,
				   "{\"body_hash\":\"00\",\"run\":1}"),
			==, ANSWER_CROSSED);
	g_assert_cmpint(judge_body(ANSWER_SERVICE, 200, ""), ==, ANSWER_TORN);
	g_assert_cmpint(judge_body(ANSWER_WHOLE, 200,
				   "{\"choices\":[{\"message\":"
				   "{\"content\":\" no\"}}]}"),
			==, ANSWER_CROSSED);
	g_assert_cmpint(judge_body(ANSWER_WHOLE, 503,
				   "{\"error\":{\"code\":401}}"),
			==, ANSWER_REFUSED);
	g_assert_cmpint(judge_body(ANSWER_WHOLE, 0, ""), ==, ANSWER_LOST);
	g_free(own);
	g_free(twice);
}

static void an_error_event_is_no_torn_answer(void)
{
	const char *event = "data: {\"error\":{\"code\":503}}\n\n";
	struct answer answer;

	answer_init(&answer, ANSWER_STREAM, BODY, strlen(BODY), 0);
	take_token(&answer, 0);
	answer_take(&answer, 200, event, strlen(event));
	g_assert_cmpint(answer_end(&answer, 200, true), ==, ANSWER_REFUSED);
	g_assert_cmpint(answer.code, ==, 503);
	answer_clear(&answer);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/answer/stream", streams_are_judged);
	g_test_add_func("/answer/whole", whole_answers_are_judged);
	g_test_add_func("/answer/error", an_error_event_is_no_torn_answer);
	return g_test_run();
}
