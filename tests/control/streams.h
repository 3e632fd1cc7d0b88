#ifndef TESTS_CONTROL_STREAMS_H
#define TESTS_CONTROL_STREAMS_H

#include "entries.h"

/**
 * Callers of streams at entry VMs, who leave and take their streams up again,
 * at the same VM or at another one.
 */

#define STREAMS_PATH "/stream/1"
#define STREAMS_EVENTS 24

/** Time to a stream's first event, and from one to the next. */
#define STREAMS_FIRST_US INT64_C(60000)
#define STREAMS_EVENT_US INT64_C(20000)

enum streams_state {
	STREAMS_OPEN,	 /**< its request is under way */
	STREAMS_LEFT,	 /**< its caller has left */
	STREAMS_WHOLE,	 /**< all events came */
	STREAMS_REFUSED, /**< as not run */
	STREAMS_BROKEN	 /**< ended early otherwise */
};

struct entries_stream {
	char first[24]; /**< request that brought the first event, or empty */
	char name[24];	/**< the present request */
	char body[16];	/**< hash of its body */
	int number;
	int tries;
	int vm;
	uint64_t entry;	  /**< the VM's process */
	uint64_t id;	  /**< of the present request there */
	uint64_t pass_id; /**< at the VM that it is passed on to, or 0 */
	enum streams_state state;
	enum result code;
	int64_t asked_us;
	int64_t answered_us;
	int events;	   /**< that its caller has */
	int events_before; /**< of these, by earlier requests */
	char version[16];  /**< that wrote the first one */
	bool joined;	   /**< events of two versions */
};

/** A caller begins a stream. */
struct entries_stream *streams_begin(struct entries *entries, int vm);

/** Callers begin `n` streams, one each `gap_us`, at VMs in turn. */
void streams_begin_many(struct entries *entries, int n, int64_t gap_us);

/** The caller leaves, if its request is under way. */
void streams_leave(struct entries *entries, struct entries_stream *stream);

/** It leaves and comes back to a VM; nothing if it has the whole stream. */
void streams_resume(struct entries *entries, struct entries_stream *stream,
		    int vm);

/** The same with another name for the request that began it, or NULL. */
void streams_resume_as(struct entries *entries, struct entries_stream *stream,
		       int vm, const char *resumes);

struct entries_stream *streams_nth(const struct entries *entries, guint i);

/** Streams with events of two versions. */
int streams_joined(const struct entries *entries);

/** Streams that are resumed by their present request. */
int streams_resumed(const struct entries *entries);

/** Of these, those for which it brought an event. */
int streams_gone_on(const struct entries *entries);
int streams_in_state(const struct entries *entries, enum streams_state state);

/** For entries.c: the stream of a request, or NULL. */
struct entries_stream *streams_find(const struct entries *entries, uint64_t id);

/** The next event of that version has come. */
void streams_event(struct entries_stream *stream, const char *version);
void streams_answered(struct entries_stream *stream,
		      const struct effect_answer *answer, int64_t now_us);

/** The VM's process has ended. */
void streams_lost(struct entries *entries, int vm);

#endif
