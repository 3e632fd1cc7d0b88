#ifndef FILBERTHALL_ENTRY_ENTRY_H
#define FILBERTHALL_ENTRY_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "core/effect.h"
#include "core/event.h"
#include "document/document.h"
#include "fleet/region.h"
#include "fleet/registry.h"

/**
 * State machine of an entry VM. It decides which requests may run, for which
 * organisation and on which service. It receives the document and the
 * registrations of backend servers from the control VMs, and passes requests to
 * load/router.
 *
 * It reads neither a clock nor a socket. Its actions are appended to `effects`:
 * ANSWER, START_ATTEMPT, CANCEL_ATTEMPT and DISTRUST from the router, PROBE,
 * SEND, LINK_OPEN, LINK_CLOSE, LOG, EXIT.
 */
struct entry;

struct entry_options {
	uint64_t self; /**< id on links, a new one at each start */
	uint64_t seed;
	const char *vm;
	const char *zone;
	const struct regions *regions; /**< copied; NULL: none known */
	int64_t max_staleness_us; /**< requests aren't decided on older state */
	int64_t window_us;	  /**< length of a usage window */
	double retry_share;	  /**< retries per request, over all VMs */
	double retry_headroom;	  /**< in addition per window, over all VMs */
	int64_t retry_window_us;
	int64_t announce_interval_us; /**< of backend servers */
	/**
	 * Parses a document; NULL if it is invalid. Control VMs have checked
	 * it, so this fails only if they run another release.
	 */
	struct document *(*read_document)(void *data, const char *text,
					  size_t len);
	void *data;
};

/** Which VM may go on with a stream that is resumed. */
enum entry_where {
	ENTRY_ANYWHERE,	 /**< this one, or a neighbour if this one can't know */
	ENTRY_ELSEWHERE, /**< a neighbour: this one doesn't know the stream */
	ENTRY_HERE	 /**< this one: no neighbour can */
};

/** A caller's request, received completely. Strings are borrowed. */
struct entry_request {
	uint64_t id;	  /**< unique until this VM stops */
	const char *name; /**< the caller's id of the request */
	const char *host;
	const char *path;      /**< including the query */
	const char *key;       /**< or NULL */
	const char *model;     /**< or NULL */
	const char *body_hash; /**< hash of path and body, hexadecimal */
	uint64_t prefix_hash; /**< hash of the prompt's shared parts; 0: none */
	const uint64_t *parts; /**< hashes of each of them, in order */
	size_t n_parts;
	int64_t prompt_tokens;
	int64_t shared_tokens; /**< in parts shared with other requests */
	int64_t output_tokens; /**< limit or estimate; 0: unknown */
	int64_t deadline_ms;   /**< how long the caller waits; 0: unknown */
	bool passed_on;	       /**< by another entry VM */
	/**
	 * Of a caller that resumes a stream: the id of the last event that it
	 * has, and the name of the request that brought the first one. NULL if
	 * it doesn't say.
	 */
	const char *last_event;
	const char *resumes;
	bool unreadable;	/**< what it says of that can't be read */
	enum entry_where where; /**< chosen by the entry VM itself */
};

/** The backend server that an attempt was sent to. */
struct entry_server {
	char address[BACKEND_NAME_SIZE];
	char id[BACKEND_NAME_SIZE]; /**< of its start; empty if unknown */
	int64_t started_ms;	    /**< of its start, as it registered it */
};

/** The properties of a request that the HTTP layer needs to forward it. */
struct entry_call {
	const char *organisation; /**< empty on an open route */
	bool stream;
	bool resumable;
	int urgency; /**< priority at the server; 0 is the most urgent */
	int64_t deadline_us;
};

/** Where this VM's callers come in, as other VMs reach it. */
void entry_set_callers(struct entry *entry, const char *address);

struct entry *entry_new(const struct entry_options *options, int64_t now_us);
void entry_free(struct entry *entry);

/** Runs timers; must be called at entry_next_tick() at the latest. */
void entry_tick(struct entry *entry, int64_t now_us, struct effects *effects);
int64_t entry_next_tick(const struct entry *entry, int64_t now_us);

void entry_link_up(struct entry *entry, const struct event_link_up *up,
		   int64_t now_us, struct effects *effects);
void entry_link_down(struct entry *entry, uint64_t peer, int64_t now_us,
		     struct effects *effects);
void entry_link_message(struct entry *entry,
			const struct event_link_message *message,
			int64_t now_us, struct effects *effects);

/** Zones and their regions as known from now on. */
void entry_set_regions(struct entry *entry, const struct regions *regions);

/** Decides on a request: starts it, defers it, or refuses it with an ANSWER. */
void entry_submit(struct entry *entry, const struct entry_request *request,
		  int64_t now_us, struct effects *effects);

/**
 * Finds a request that was submitted and not yet answered; false if unknown.
 */
bool entry_find_call(const struct entry *entry, uint64_t id,
		     struct entry_call *out);

/** The backend server known at that address, or NULL. */
const struct registration *entry_server_at(const struct entry *entry,
					   const char *address);

/**
 * This VM stood still between the two times, as one does that is suspended.
 * To be called before what has come meanwhile.
 */
void entry_stood_still(struct entry *entry, int64_t from_us, int64_t until_us,
		       struct effects *effects);

/** What becomes of an attempt's first event. */
enum entry_begin {
	ENTRY_BEGIN_PASS,
	/** Hold it and ask again: whether the server is of the version that
	    the attempt was meant for isn't known yet. */
	ENTRY_BEGIN_WAIT,
	/** It isn't; nothing of its answer may be passed on. */
	ENTRY_BEGIN_REJECT
};

/** An attempt's first event has come; to be called before it is passed on. */
enum entry_begin entry_attempt_begins(struct entry *entry, uint64_t id,
				      int64_t attempt, int64_t now_us,
				      struct effects *effects);

/** Progress and results of attempts, as in the events of core/event.h. */
void entry_attempt_tokens(struct entry *entry,
			  const struct event_attempt_tokens *tokens,
			  int64_t now_us, struct effects *effects);
void entry_attempt_ended(struct entry *entry,
			 const struct event_attempt_ended *ended,
			 int64_t now_us, struct effects *effects);
void entry_caller_left(struct entry *entry, uint64_t id, int64_t now_us,
		       struct effects *effects);

/** The server that is known at that address now. */
struct entry_server entry_server_named(const struct entry *entry,
				       const char *address);

/**
 * The server has turned a request away and asks this VM, and no other, to send
 * it nothing for that time.
 */
void entry_report_retry_after(struct entry *entry,
			      const struct entry_server *server,
			      int64_t retry_after_us, int64_t now_us,
			      struct effects *effects);

/** The server has said in an answer that it is about to stop. */
void entry_report_leaving(struct entry *entry,
			  const struct entry_server *server, int64_t now_us,
			  struct effects *effects);

/** Load figures that a backend server sent with an answer. */
void entry_report_load(struct entry *entry, const char *address,
		       int64_t running, int64_t waiting, int64_t slots,
		       int64_t now_us);

/**
 * The limit that a backend server named with an answer, in requests a second
 * from all VMs together; SERVER_LIMIT_NONE if it named none.
 */
void entry_report_limit(struct entry *entry, const char *address, double per_s,
			int64_t now_us, struct effects *effects);

#define REJECT_LIMIT_NONE (-1.0)

/**
 * The requests a second that a backend server can reject before it fails, as it
 * named them with an answer; REJECT_LIMIT_NONE if it named none.
 */
void entry_report_reject_limit(struct entry *entry, const char *address,
			       double per_s, int64_t now_us,
			       struct effects *effects);

/** A new connection to a backend server stands, or can't be made. */
void entry_report_connection(struct entry *entry, const char *address,
			     bool stands, int64_t now_us,
			     struct effects *effects);

/**
 * How long the balancer sends callers to a stopping VM: it probes once a second
 * and removes a VM after two failed probes.
 */
#define ENTRY_STOP_BALANCED_US INT64_C(2800000)

/**
 * Starts a planned stop: the VM isn't ready any more and exits once all
 * requests are answered. New requests are accepted only if their deadline is
 * before that end; others are refused as not run, so that they can be sent
 * elsewhere. What is open shortly before the end gets its final answer then.
 */
void entry_stop(struct entry *entry, int64_t now_us, int64_t grace_us,
		struct effects *effects);
bool entry_stopping(const struct entry *entry);

/** Whether the balancer should send requests to this VM. */
bool entry_ready(const struct entry *entry, int64_t now_us);

/** The document in force, or NULL. */
const struct document *entry_document(const struct entry *entry);

/**
 * Histogram of durations in milliseconds. The upper bounds of the buckets
 * double: 25, 50, ... 12,800; the last bucket has none.
 */
#define ENTRY_BUCKETS 11
#define ENTRY_FIRST_BUCKET_MS 25
struct entry_histogram {
	int64_t buckets[ENTRY_BUCKETS];
	int64_t count;
	int64_t sum_ms;
};

/** Counts of documents requested from control VMs, since the start. */
struct entry_documents {
	int64_t requested;
	int64_t received;
	int64_t unused; /**< received, but not newer than the one held */
	int64_t bytes;	/**< received, as sent (maybe compressed) */
};

/** For metrics and status. */
struct entry_view {
	struct entry_histogram
		time_to_first; /**< until the first event or the answer */
	struct entry_histogram
		total_time; /**< until the end of a successful request */
	int64_t version;
	int64_t staleness_us; /**< -1: unknown */
	int64_t silence_us;   /**< since a control VM answered; -1: none has */
	int control_vms;
	int servers;
	int64_t open;
	int64_t submitted;
	int64_t refused; /**< refused without having run */
	int64_t held;	 /**< of these, since servers crashed under them */
	int64_t served;
	int64_t failed;
	int64_t passed; /**< attempts to pass a request on to another VM */
	int64_t attempts;
	struct entry_documents documents;
};
struct entry_view entry_view(const struct entry *entry, int64_t now_us);

#endif
