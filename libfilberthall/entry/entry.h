#ifndef FILBERTHALL_ENTRY_ENTRY_H
#define FILBERTHALL_ENTRY_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "core/effect.h"
#include "core/event.h"
#include "document/document.h"

/**
 * The reducer of an entry VM: which request may run, for whom, and where. It
 * follows the document and the backend servers as the control VMs tell them,
 * and drives load/router.
 *
 * It reads no clock and no socket. What is to be done is appended to
 * `effects`: ANSWER, START_ATTEMPT, CANCEL_ATTEMPT and DISTRUST as the router
 * makes them, SEND, LINK_OPEN, LINK_CLOSE, LOG, EXIT.
 */
struct entry;

struct entry_options {
	uint64_t self; /**< id on links, new at each start */
	uint64_t seed;
	const char *vm;
	const char *zone;
	int64_t max_staleness_us; /**< older knowledge of keys isn't acted upon */
	int64_t window_us;	  /**< length of a usage window */
	double retry_share;	  /**< repeats for each request, over all VMs */
	double retry_allowance; /**< besides, over all VMs and in any window */
	int64_t retry_window_us;
	int64_t announce_interval_us; /**< backend servers announce themselves so often */
	/**
	 * Read a document; NULL if it can't be. Control VMs have checked it,
	 * so this fails only if they run another release.
	 */
	struct document *(*read_document)(void *data, const char *text,
					  size_t len);
	void *data;
};

/** A caller's request that has been read whole. Text is borrowed. */
struct entry_request {
	uint64_t id;	  /**< unique in this VM's life */
	const char *name; /**< the caller's own id of it, for logs */
	const char *host;
	const char *path;      /**< with its query */
	const char *key;       /**< or NULL */
	const char *model;     /**< or NULL */
	const char *body_hash; /**< of path and body, hex */
	uint64_t prefix_hash;  /**< of the prompt's shared parts; 0 for none */
	int64_t prompt_tokens;
	int64_t shared_tokens; /**< of the prompt, in parts that others share */
	int64_t output_tokens; /**< the caller's bound or guess, 0 unknown */
	int64_t deadline_ms;   /**< the caller waits so long; 0 unknown */
};

/** What the edge needs to carry a request out. */
struct entry_call {
	const char *organisation; /**< empty on an open route */
	bool stream;
	bool resumable;
	int urgency; /**< for the server; 0 is the most urgent */
	int64_t deadline_us;
};

struct entry *entry_new(const struct entry_options *options, int64_t now_us);
void entry_free(struct entry *entry);

/** Let time pass; at entry_next_tick() at the latest. */
void entry_tick(struct entry *entry, int64_t now_us, struct effects *effects);
int64_t entry_next_tick(const struct entry *entry, int64_t now_us);

void entry_link_up(struct entry *entry, const struct event_link_up *up,
		   int64_t now_us, struct effects *effects);
void entry_link_down(struct entry *entry, uint64_t peer, int64_t now_us,
		     struct effects *effects);
void entry_link_message(struct entry *entry,
			const struct event_link_message *message,
			int64_t now_us, struct effects *effects);

/** Decide on a request: it is started, waits, or an ANSWER refuses it. */
void entry_submit(struct entry *entry, const struct entry_request *request,
		  int64_t now_us, struct effects *effects);

/** A request that was submitted and not yet answered; false if unknown. */
bool entry_find_call(const struct entry *entry, uint64_t id,
		     struct entry_call *out);

/** The start of a backend server that is known at that address, or NULL. */
const char *entry_server_id_at(const struct entry *entry, const char *address);

/** What became of attempts; as the events of core/event.h. */
void entry_attempt_tokens(struct entry *entry,
			  const struct event_attempt_tokens *tokens,
			  int64_t now_us, struct effects *effects);
void entry_attempt_ended(struct entry *entry,
			 const struct event_attempt_ended *ended,
			 int64_t now_us, struct effects *effects);
void entry_caller_left(struct entry *entry, uint64_t id, int64_t now_us,
		       struct effects *effects);

/** A backend server's answer said how much it has to do. */
void entry_report_load(struct entry *entry, const char *address,
		       int64_t running, int64_t waiting, int64_t slots,
		       int64_t now_us);

/**
 * How long a stopping VM goes on taking what still comes: the balancer asks
 * once a second and needs two misses. What comes later is taken only if its own
 * time ends before the process does; else it is refused as not run, to be sent
 * elsewhere.
 */
#define ENTRY_STOP_ACCEPT_US INT64_C(2800000)

/** A planned stop: not ready any more, EXIT once all is answered. */
void entry_stop(struct entry *entry, int64_t now_us, int64_t grace_us,
		struct effects *effects);
bool entry_stopping(const struct entry *entry);

/** Whether this VM should get requests. */
bool entry_ready(const struct entry *entry, int64_t now_us);

/** The document in force, or NULL. */
const struct document *entry_document(const struct entry *entry);

/**
 * Times in milliseconds, counted by upper bounds that double: 25, 50, ...
 * 12,800; the last bucket has none.
 */
#define ENTRY_BUCKETS 11
#define ENTRY_FIRST_BUCKET_MS 25
struct entry_histogram {
	int64_t buckets[ENTRY_BUCKETS];
	int64_t count;
	int64_t sum_ms;
};

/** Documents asked of control VMs, since the start. */
struct entry_documents {
	int64_t requested;
	int64_t received;
	int64_t unused; /**< of those received: not newer than the one held */
	int64_t bytes;	/**< received, as they travelled */
};

/** For metrics and status. */
struct entry_view {
	struct entry_histogram
		time_to_first; /**< to the first event or the answer */
	struct entry_histogram total_time; /**< to the end of a success */
	int64_t version;
	int64_t staleness_us; /**< -1 unknown */
	int control_vms;
	int servers;
	int64_t open;
	int64_t submitted;
	int64_t refused; /**< without having run */
	int64_t served;
	int64_t failed;
	int64_t attempts;
	struct entry_documents documents;
};
struct entry_view entry_view(const struct entry *entry, int64_t now_us);

#endif
