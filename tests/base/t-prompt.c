#include <glib.h>
#include <string.h>

#include "core/prompt.h"

static enum result test_parse(struct prompt *prompt, enum request_kind kind,
			      const char *body)
{
	return prompt_parse(prompt, kind, body, strlen(body), NULL);
}

static void chat_gives_model_adapter_and_limits(void)
{
	struct prompt prompt;

	g_assert_cmpint(
		test_parse(&prompt, REQUEST_CHAT,
			   "{\"model\":\"base:grants\",\"stream\":true,"
			   "\"max_tokens\":9,\"messages\":[{\"role\":\"user\","
			   "\"content\":\"0123456789abcdef\"}]}"),
		==, RESULT_OK);
	g_assert_cmpstr(prompt.model, ==, "base");
	g_assert_cmpstr(prompt.adapter, ==, "grants");
	g_assert_true(prompt.stream);
	g_assert_cmpint(prompt.max_tokens, ==, 9);
	g_assert_cmpint(prompt.prompt_tokens, ==, 6);
	prompt_clear(&prompt);
}

static void same_start_gives_same_prefix(void)
{
	g_autofree char *start = g_strnfill(PROMPT_PREFIX_BYTES, 'x');
	g_autofree char *a =
		g_strdup_printf("{\"model\":\"m\",\"prompt\":\"%s one\"}",
				start);
	g_autofree char *b =
		g_strdup_printf("{\"model\":\"m\",\"prompt\":\"%s two\"}",
				start);
	struct prompt first;
	struct prompt second;

	g_assert_cmpint(test_parse(&first, REQUEST_COMPLETION, a), ==, 0);
	g_assert_cmpint(test_parse(&second, REQUEST_COMPLETION, b), ==, 0);
	g_assert_true(first.prefix_hash == second.prefix_hash);
	prompt_clear(&first);
	prompt_clear(&second);
}

static void bad_bodies_are_refused(void)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"{\"messages\":[]}",
		"{\"model\":\"m\",\"messages\":[]}",
		"{\"model\":\"m\",\"messages\":[{\"content\":\"x\"}]}",
		"{\"model\":\"m\",\"max_tokens\":0,"
		"\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
		"{\"model\":7,\"messages\":[{\"role\":\"user\"}]}",
	};
	struct prompt prompt;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++)
		g_assert_cmpint(test_parse(&prompt, REQUEST_CHAT, bodies[i]),
				==, RESULT_BAD_REQUEST);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/prompt/chat", chat_gives_model_adapter_and_limits);
	g_test_add_func("/prompt/prefix", same_start_gives_same_prefix);
	g_test_add_func("/prompt/bad", bad_bodies_are_refused);
	return g_test_run();
}
