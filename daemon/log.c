#include "daemon/log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"

struct log {
	FILE *file;
	char *vm;
	enum log_level level;
	pthread_mutex_t mutex; /* lines of several threads stay whole */
	log4c_category_t *category;
	log4c_appender_t *appender;
	bool bounded;	      /* never waits; what doesn't fit is dropped */
	struct bytes waiting; /* the rest of lines begun */
	uint64_t dropped;
};

/* What may wait for a slow reader of standard output. */
#define LOG_WAITING_BYTES (64 * 1024)

static const char *const log_level_names[] = { "debug", "info", "warn",
					       "error" };

static int log_priority(enum log_level level)
{
	switch (level) {
	case LOG_DEBUG:
		return LOG4C_PRIORITY_DEBUG;
	case LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case LOG_INFO:
		break;
	}
	return LOG4C_PRIORITY_INFO;
}

static void log_push(struct log *log)
{
	ssize_t n;

	while (log->waiting.len) {
		n = write(fileno(log->file), log->waiting.data,
			  log->waiting.len);
		if (n <= 0)
			return;
		bytes_consume(&log->waiting, (size_t)n);
	}
}

static void log_append_bounded(struct log *log, const char *line)
{
	log_push(log);
	if (log->waiting.len + strlen(line) > LOG_WAITING_BYTES) {
		log->dropped++;
		return;
	}
	if (log->dropped) {
		bytes_append_format(&log->waiting,
				    "{\"level\":\"warn\",\"module\":\"log\","
				    "\"message\":\"event=dropped lines=%" PRIu64
				    "\"}\n",
				    log->dropped);
		log->dropped = 0;
	}
	bytes_append_format(&log->waiting, "%s\n", line);
	log_push(log);
}

static int log_append(log4c_appender_t *appender,
		      const log4c_logging_event_t *event)
{
	struct log *log = log4c_appender_get_udata(appender);

	pthread_mutex_lock(&log->mutex);
	if (log->bounded) {
		log_append_bounded(log, event->evt_msg);
		pthread_mutex_unlock(&log->mutex);
		return 0;
	}
	fputs(event->evt_msg, log->file);
	fputc('\n', log->file);
	fflush(log->file);
	pthread_mutex_unlock(&log->mutex);
	return 0;
}

static int log_appender_open(log4c_appender_t *appender)
{
	return 0;
}

static int log_appender_close(log4c_appender_t *appender)
{
	return 0;
}

static const log4c_appender_type_t log_appender_type = {
	"filberthall", log_appender_open, log_append, log_appender_close
};

static void log_attach(struct log *log)
{
	log4c_appender_type_set(&log_appender_type);
	log->appender = log4c_appender_get("filberthall");
	log4c_appender_set_type(log->appender, &log_appender_type);
	log4c_appender_set_udata(log->appender, log);
	log->category = log4c_category_get("filberthall");
	log4c_category_set_priority(log->category, log_priority(log->level));
	log4c_category_set_appender(log->category, log->appender);
	log4c_category_set_additivity(log->category, 0);
}

enum result log_open(struct log **log, const char *path, const char *vm,
		     enum log_level level, const struct error_handler *handler)
{
	struct log *opened = xcalloc(1, sizeof(*opened));

	opened->bounded = path && !strcmp(path, "-");
	opened->file = stderr;
	if (opened->bounded) {
		opened->file = stdout;
		fcntl(STDOUT_FILENO, F_SETFL,
		      fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
	} else if (path) {
		opened->file = fopen(path, "ae");
	}
	if (!opened->file) {
		free(opened);
		return error_report(handler, RESULT_SETTING_VALUE,
				    "log.file %s: %s", path, strerror(errno));
	}
	opened->vm = xstrdup(vm);
	opened->level = level;
	pthread_mutex_init(&opened->mutex, NULL);
	log_attach(opened);
	*log = opened;
	return RESULT_OK;
}

static json_t *log_time(void)
{
	char text[40];
	char whole[64];
	struct timespec now;
	struct tm utc;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
	snprintf(whole, sizeof(whole), "%s.%03ldZ", text,
		 now.tv_nsec / 1000000);
	return json_string(whole);
}

static void log_set_text(json_t *root, const char *key, const char *value)
{
	if (value && *value)
		json_object_set_new(root, key, json_string(value));
}

void log_effect(struct log *log, const struct effect_log *line)
{
	cleanup(free_ptr) char *text = NULL;
	char id[24];
	json_t *root;

	if (line->level < (int64_t)log->level)
		return;
	root = json_object();
	json_object_set_new(root, "time", log_time());
	log_set_text(root, "level", log_level_names[line->level & 3]);
	log_set_text(root, "module", line->module);
	log_set_text(root, "message", line->message);
	if (line->id) {
		snprintf(id, sizeof(id), "%" PRIu64, line->id);
		log_set_text(root, "request", id);
	}
	log_set_text(root, "organisation", line->organisation);
	log_set_text(root, "class", line->class_name);
	log_set_text(root, "vm", log->vm);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (text)
		log4c_category_log(log->category,
				   log_priority((enum log_level)line->level),
				   "%s", text);
}

void log_line(struct log *log, enum log_level level, const char *module,
	      const char *format, ...)
{
	cleanup(free_ptr) char *text = NULL;
	struct effect_log line = { 0 };
	va_list args;
	int len;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	if (len < 0)
		return;
	line.level = level;
	line.module = (char *)module;
	line.message = text;
	log_effect(log, &line);
}

void log_close(struct log *log)
{
	if (!log)
		return;
	log4c_fini();
	if (log->bounded)
		log_push(log);
	bytes_clear(&log->waiting);
	if (log->file != stderr && log->file != stdout)
		fclose(log->file);
	pthread_mutex_destroy(&log->mutex);
	free(log->vm);
	free(log);
}
