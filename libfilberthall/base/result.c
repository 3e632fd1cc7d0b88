#include "base/result.h"

#include <stddef.h>

struct result_row {
	enum result code;
	int http;
	const char *name;
	const char *text;
};

static const struct result_row result_rows[] = {
#define RESULT_ROW(number, name, http, text) \
	{ RESULT_##name, http, #name, text },
	RESULT_TABLE(RESULT_ROW)
#undef RESULT_ROW
};

static const struct result_row *result_find(enum result code)
{
	size_t i;

	for (i = 0; i < sizeof(result_rows) / sizeof(result_rows[0]); i++)
		if (result_rows[i].code == code)
			return &result_rows[i];
	return NULL;
}

const char *result_name(enum result code)
{
	const struct result_row *row = result_find(code);

	return row ? row->name : "UNKNOWN";
}

const char *result_text(enum result code)
{
	const struct result_row *row = result_find(code);

	return row ? row->text : "unknown result";
}

int result_http_status(enum result code)
{
	const struct result_row *row = result_find(code);

	return row ? row->http : 500;
}

const char *run_state_name(enum run_state run)
{
	switch (run) {
	case RUN_NOT:
		return "not-run";
	case RUN_RAN:
		return "ran";
	case RUN_UNKNOWN:
		break;
	}
	return "unknown";
}
