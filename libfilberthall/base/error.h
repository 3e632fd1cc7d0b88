#ifndef FILBERTHALL_BASE_ERROR_H
#define FILBERTHALL_BASE_ERROR_H

#include "base/result.h"

/**
 * How the library reports an error in words: the caller sets a handler and
 * gets each message with its numbered code. A function that reports also
 * returns the code.
 */
struct error_handler {
	void (*report)(void *data, enum result code, const char *message);
	void *data;
};

/** Format a message, hand it to the handler (if any), return `code`. */
enum result error_report(const struct error_handler *handler, enum result code,
			 const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
