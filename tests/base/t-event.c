#include <glib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/effect.h"
#include "core/event.h"

static void each_kind_has_a_name_and_frees_what_it_owns(void)
{
	int kind;

	for (kind = 0; kind < EVENT_KINDS; kind++) {
		struct event *event = event_new((enum event_kind)kind);
		const struct field *fields;
		size_t n;
		size_t i;

		g_assert_nonnull(event_name(event->kind));
		fields = event_fields(event->kind, &n);
		for (i = 0; i < n; i++)
			if (fields[i].type == FIELD_TEXT)
				*(char **)((char *)event + fields[i].offset) =
					xstrdup("owned");
		event_free(event);
	}
}

static void effects_come_out_in_order(void)
{
	struct effects effects;
	struct effect *effect;

	effects_init(&effects);
	effects_add(&effects, EFFECT_ANSWER)->u.answer.id = 1;
	effects_add(&effects, EFFECT_EXIT);
	effect = effects_take(&effects);
	g_assert_cmpint(effect->kind, ==, EFFECT_ANSWER);
	effect_free(effect);
	effects_clear(&effects);
	g_assert_null(effects_take(&effects));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/event/kinds",
			each_kind_has_a_name_and_frees_what_it_owns);
	g_test_add_func("/effect/order", effects_come_out_in_order);
	return g_test_run();
}
