#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>

#define ERROR_MESSAGE_SIZE 512

enum result error_report(const struct error_handler *handler, enum result code,
			 const char *format, ...)
{
	char message[ERROR_MESSAGE_SIZE];
	va_list args;

	if (!handler || !handler->report)
		return code;
	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	handler->report(handler->data, code, message);
	return code;
}
