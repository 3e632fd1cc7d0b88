#include <stdlib.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/json.h"
#include "fakes/platform.h"

/* The figures by organisation and corrected window, in no order. */
static json_t *report_figures(const json_t *arguments)
{
	const json_t *rows = json_object_get(arguments, "organisations");
	json_t *figures = json_object();
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) {
		const char *name = json_text(row, "name");
		const json_t *of = json_object_get(row, "correction_of");
		cleanup(free_ptr) char *correction =
			of ? json_dumps(of, JSON_ENCODE_ANY) : NULL;
		cleanup(free_ptr) char *key =
			xstrfmt("%s of %s", name ? name : "",
				correction ? correction : "null");

		json_object_set(figures, key, row);
	}
	return figures;
}

static int report_judge(struct platform *platform, const json_t *arguments,
			const char *window)
{
	const char *id = json_text(arguments, "report_id");
	int64_t fence = json_int(arguments, "fence");
	struct order *known = order_book_find(&platform->reports, window);
	cleanup(json_free) json_t *figures = report_figures(arguments);

	if (known)
		return json_equal(known->arguments, figures) ? 200 : 409;
	if (order_book_is_old(&platform->reports, fence))
		return 409;
	order_book_keep(&platform->reports, window, fence, 200, json_string(id),
			json_incref(figures));
	return 200;
}

void platform_report(struct platform *platform, struct exchange *exchange)
{
	json_t *arguments = json_body(exchange);
	const json_t *window = json_object_get(arguments, "window");
	cleanup(free_ptr) char *name =
		window ? json_dumps(window, JSON_ENCODE_ANY) : NULL;
	int status = 400;

	if (name && json_text(arguments, "report_id") &&
	    json_is_array(json_object_get(arguments, "organisations")))
		status = report_judge(platform, arguments, name);
	exchange_answer_json(exchange, status,
			     status == 200 ? "{\"state\": \"taken\"}\n"
					   : "{\"error\": \"refused\"}\n");
	platform_log(platform, "report", arguments, status);
}
