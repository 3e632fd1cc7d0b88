#include "streams.h"

#include <stdio.h>
#include <string.h>

#include "base/alloc.h"

struct entries_stream *streams_nth(const struct entries *entries, guint i)
{
	return g_ptr_array_index(entries->streams, i);
}

struct entries_stream *streams_find(const struct entries *entries, uint64_t id)
{
	guint i;

	for (i = 0; i < entries->streams->len; i++) {
		struct entries_stream *stream = streams_nth(entries, i);

		if (stream->id == id || stream->pass_id == id)
			return stream;
	}
	return NULL;
}

static void send_request(struct entries *entries, struct entries_stream *stream,
			 int vm, const char *resumes)
{
	char last[16];
	struct entry_request request = {
		.name = stream->name,
		.path = STREAMS_PATH,
		.body_hash = stream->body,
		.resumes = resumes,
		.prompt_tokens = entries->stream_prompt,
		.last_event = stream->events ? last : NULL,
	};

	snprintf(stream->name, sizeof(stream->name), "s%d-%d", stream->number,
		 stream->tries++);
	snprintf(last, sizeof(last), "%d", stream->events);
	stream->vm = vm;
	stream->state = STREAMS_OPEN;
	stream->events_before = stream->events;
	stream->asked_us = group_now(entries->group);
	stream->pass_id = 0;
	stream->id = entries_next_id(entries);
	stream->entry = entries_process(entries, vm);
	request.id = stream->id;
	entries_submit(entries, vm, &request);
}

struct entries_stream *streams_begin(struct entries *entries, int vm)
{
	struct entries_stream *stream = xcalloc(1, sizeof(*stream));

	stream->number = (int)entries->streams->len;
	snprintf(stream->body, sizeof(stream->body), "body-%d", stream->number);
	g_ptr_array_add(entries->streams, stream);
	send_request(entries, stream, vm, NULL);
	return stream;
}

void streams_begin_many(struct entries *entries, int n, int64_t gap_us)
{
	int i;

	for (i = 0; i < n; i++) {
		streams_begin(entries, i % entries->n_vms);
		entries_run(entries, gap_us);
	}
}

void streams_leave(struct entries *entries, struct entries_stream *stream)
{
	if (stream->state == STREAMS_OPEN &&
	    stream->entry == entries_process(entries, stream->vm))
		entries_leave(entries, stream->vm, stream->id);
}

void streams_resume_as(struct entries *entries, struct entries_stream *stream,
		       int vm, const char *resumes)
{
	if (stream->events == STREAMS_EVENTS)
		return;
	streams_leave(entries, stream);
	send_request(entries, stream, vm, resumes);
}

void streams_resume(struct entries *entries, struct entries_stream *stream,
		    int vm)
{
	streams_resume_as(entries, stream, vm,
			  stream->events ? stream->first : NULL);
}

int streams_joined(const struct entries *entries)
{
	int n = 0;
	guint i;

	for (i = 0; i < entries->streams->len; i++)
		n += streams_nth(entries, i)->joined;
	return n;
}

int streams_resumed(const struct entries *entries)
{
	int n = 0;
	guint i;

	for (i = 0; i < entries->streams->len; i++)
		n += streams_nth(entries, i)->events_before > 0;
	return n;
}

int streams_gone_on(const struct entries *entries)
{
	int n = 0;
	guint i;

	for (i = 0; i < entries->streams->len; i++) {
		const struct entries_stream *stream = streams_nth(entries, i);

		n += stream->events_before > 0 &&
		     stream->events > stream->events_before;
	}
	return n;
}

int streams_in_state(const struct entries *entries, enum streams_state state)
{
	int n = 0;
	guint i;

	for (i = 0; i < entries->streams->len; i++)
		n += streams_nth(entries, i)->state == state;
	return n;
}

void streams_event(struct entries_stream *stream, const char *version)
{
	stream->events++;
	if (stream->events == 1) {
		memcpy(stream->first, stream->name, sizeof(stream->first));
		snprintf(stream->version, sizeof(stream->version), "%s",
			 version);
	}
	stream->joined |= strcmp(stream->version, version) != 0;
}

void streams_answered(struct entries_stream *stream,
		      const struct effect_answer *answer, int64_t now_us)
{
	stream->code = (enum result)answer->code;
	stream->answered_us = now_us;
	if (answer->code == RESULT_OK)
		stream->state = STREAMS_WHOLE;
	else if (answer->code == RESULT_CALLER_LEFT)
		stream->state = STREAMS_LEFT;
	else if (answer->run == RUN_NOT)
		stream->state = STREAMS_REFUSED;
	else
		stream->state = STREAMS_BROKEN;
}

void streams_lost(struct entries *entries, int vm)
{
	guint i;

	for (i = 0; i < entries->streams->len; i++) {
		struct entries_stream *stream = streams_nth(entries, i);

		if (stream->vm == vm && stream->state == STREAMS_OPEN)
			stream->state = STREAMS_BROKEN;
	}
}
