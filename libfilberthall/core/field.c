#include "core/field.h"

#include <stdlib.h>

#include "base/bytes.h"

void field_clear(const struct field *fields, size_t n, void *record)
{
	size_t i;

	for (i = 0; i < n; i++) {
		void *at = (char *)record + fields[i].offset;

		if (fields[i].type == FIELD_TEXT) {
			free(*(char **)at);
			*(char **)at = NULL;
		} else if (fields[i].type == FIELD_BYTES) {
			bytes_clear(at);
		}
	}
}
