#include "daemon/disk/file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"

static void file_close(FILE **file)
{
	if (*file)
		fclose(*file);
}

enum result file_read(struct bytes *content, const char *path, size_t limit,
		      const struct error_handler *handler)
{
	cleanup(file_close) FILE *file = fopen(path, "rb");
	char buffer[4096];
	size_t got;

	if (!file)
		return error_report(handler, RESULT_SETTING_VALUE,
				    "%s: can't be opened: %s", path,
				    strerror(errno));
	while ((got = fread(buffer, 1, sizeof(buffer), file))) {
		bytes_append(content, buffer, got);
		if (content->len > limit)
			return error_report(handler, RESULT_SETTING_VALUE,
					    "%s: larger than %zu bytes", path,
					    limit);
	}
	if (ferror(file))
		return error_report(handler, RESULT_SETTING_VALUE,
				    "%s: can't be read: %s", path,
				    strerror(errno));
	return RESULT_OK;
}

enum result file_publish(const char *path, const char *text,
			 const struct error_handler *handler)
{
	cleanup(free_ptr) char *aside = xstrfmt("%s.new", path);
	FILE *file = fopen(aside, "wb");
	int failed;

	if (!file)
		return error_report(handler, RESULT_DISK_FAILED,
				    "%s: can't be written: %s", aside,
				    strerror(errno));
	failed = fputs(text, file) == EOF;
	if (fclose(file) || failed || rename(aside, path)) {
		unlink(aside);
		return error_report(handler, RESULT_DISK_FAILED,
				    "%s: can't be written: %s", path,
				    strerror(errno));
	}
	return RESULT_OK;
}
