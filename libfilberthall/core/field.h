#ifndef FILBERTHALL_CORE_FIELD_H
#define FILBERTHALL_CORE_FIELD_H

#include <stddef.h>

/**
 * Describes the fields of an event or effect, so that generic code can write,
 * read and free every kind.
 */
enum field_type {
	FIELD_BOOL,  /**< bool */
	FIELD_INT,   /**< int64_t */
	FIELD_UINT,  /**< uint64_t, written as a decimal string in JSON */
	FIELD_REAL,  /**< double */
	FIELD_TEXT,  /**< char *, owned, may be NULL */
	FIELD_BYTES, /**< struct bytes, owned */
};

struct field {
	const char *name;
	enum field_type type;
	size_t offset;
};

/** Free the memory owned by the fields of `record` and reset them. */
void field_clear(const struct field *fields, size_t n, void *record);

#endif
