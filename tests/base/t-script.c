#include <glib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/script.h"

static void test_keep_message(void *data, enum result code, const char *message)
{
	g_strlcpy(data, message, 256);
}

/* Give each field of an event a value that isn't its zero. */
static void test_fill(struct event *event)
{
	const struct field *fields;
	size_t n;
	size_t i;

	fields = event_fields(event->kind, &n);
	for (i = 0; i < n; i++) {
		void *at = (char *)event + fields[i].offset;

		switch (fields[i].type) {
		case FIELD_BOOL:
			*(bool *)at = true;
			break;
		case FIELD_INT:
			*(int64_t *)at = -7 - (int64_t)i;
			break;
		case FIELD_UINT:
			*(uint64_t *)at = UINT64_MAX - i;
			break;
		case FIELD_REAL:
			*(double *)at = 0.5 + (double)i;
			break;
		case FIELD_TEXT:
			*(char **)at = xstrdup("a \"quoted\" text");
			break;
		case FIELD_BYTES:
			bytes_append(at, "\0\xff\n", 3);
			break;
		}
	}
}

static void every_event_survives_a_round_trip(void)
{
	int kind;

	for (kind = 0; kind < EVENT_KINDS; kind++) {
		struct event *event = event_new((enum event_kind)kind);
		struct event *read;
		struct bytes first = { 0 };
		struct bytes second = { 0 };

		event->at_us = 42;
		test_fill(event);
		script_write_event(&first, event);
		g_assert_cmpint(script_read_event(&read, first.data, first.len,
						  NULL),
				==, RESULT_OK);
		script_write_event(&second, read);
		g_assert_cmpstr(bytes_text(&first), ==, bytes_text(&second));
		event_free(event);
		event_free(read);
		bytes_clear(&first);
		bytes_clear(&second);
	}
}

static void bad_lines_name_the_field(void)
{
	char message[256];
	struct error_handler handler = { test_keep_message, message };
	struct event *event;
	const char *unknown = "{\"event\":\"tick\",\"walls\":1}";
	const char *typed = "{\"event\":\"tick\",\"wall_us\":\"x\"}";

	g_assert_cmpint(script_read_event(&event, unknown, strlen(unknown),
					  &handler),
			==, RESULT_MESSAGE_MALFORMED);
	g_assert_cmpstr(message, ==, "walls: no such field of 'tick'");
	g_assert_cmpint(script_read_event(&event, typed, strlen(typed),
					  &handler),
			==, RESULT_MESSAGE_MALFORMED);
	g_assert_cmpstr(message, ==, "wall_us: not a value of its type");
	g_assert_cmpint(script_read_event(&event, "[]", 2, &handler), ==,
			RESULT_MESSAGE_MALFORMED);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/script/round-trip",
			every_event_survives_a_round_trip);
	g_test_add_func("/script/bad", bad_lines_name_the_field);
	return g_test_run();
}
