#ifndef FILBERTHALL_DAEMON_READER_H
#define FILBERTHALL_DAEMON_READER_H

#include <ev.h>

#include "base/bytes.h"
#include "base/list.h"
#include "document/document.h"

/**
 * A thread that reads operators' documents.
 *
 * Failure answered: a document of 15,000 routes takes longer to read than a
 * leader may be silent. Read in the event loop, each change cost the leader its
 * office.
 */
struct reader;

/** A document to read. */
struct reading {
	struct list node;
	uint64_t call;		   /**< of the operator, 0 for none */
	int64_t version;	   /**< of the document in force, else 0 */
	struct bytes text;	   /**< as it came */
	struct document *document; /**< out: what it says, NULL if invalid */
	struct bytes message;	   /**< out: why it is invalid */
};

struct reader_hooks {
	/** On the reader's thread: fill in what was read. */
	void (*read)(void *data, struct reading *reading);
	/** In the loop, in the order of reader_put(); the reader frees it. */
	void (*done)(void *data, struct reading *reading);
	void *data;
};

/** Signals are to be blocked by the caller, as for any thread. */
struct reader *reader_start(struct ev_loop *ev,
			    const struct reader_hooks *hooks);

/** End the thread; what isn't read by then is dropped. NULL is allowed. */
void reader_stop(struct reader *reader);

/** Have an operator's text read; it is taken over. */
void reader_put(struct reader *reader, uint64_t call, struct bytes *text);

/** Have the document in force read; its text is copied. */
void reader_put_version(struct reader *reader, int64_t version,
			const struct bytes *text);

#endif
