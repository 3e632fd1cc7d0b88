#ifndef FILBERTHALL_FEED_FEED_H
#define FILBERTHALL_FEED_FEED_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "core/pack.h"
#include "feed/peers.h"
#include "fleet/evacuation.h"
#include "fleet/registry.h"
#include "load/affinity.h"
#include "load/part.h"
#include "load/poison.h"
#include "load/unserved.h"
#include "load/retry_history.h"

/**
 * What control VMs and entry VMs tell each other on LINK_FEED, and control
 * VMs each other: msgpack arrays whose first item is the kind.
 *
 * Nothing here is relied on to arrive. What an entry VM must know it asks for
 * again; registrations are repeated as a whole when a link comes up.
 */
enum feed_kind {
	FEED_POLL = 1,	    /**< entry to control: how new are you? */
	FEED_STATE,	    /**< control to entry: the answer, or a push */
	FEED_FETCH,	    /**< entry to control: send the document */
	FEED_DOCUMENT,	    /**< control to entry */
	FEED_MEMBER,	    /**< control to entry: where a control VM is */
	FEED_REGISTRATION,  /**< control to all */
	FEED_ALIVE,	    /**< control to all: servers heard since the last */
	FEED_BEGUN,	    /**< entry to control: requests begun in a window */
	FEED_CLOCK,	    /**< control to control: its wall clock */
	FEED_MARKS,	    /**< control to entry: FEED_ALIVE in few bytes */
	FEED_BUNDLE,	    /**< control to entry: FEED_REGISTRATIONs */
	FEED_CHANGE,	    /**< control to leader: an operator's change */
	FEED_CHANGED,	    /**< leader to control: what became of it */
	FEED_EVACUATE,	    /**< control to leader: an order for a zone */
	FEED_EVACUATIONS,   /**< control to entry: zones without new requests */
	FEED_CRASHES,	    /**< to all: servers that ended under a request */
	FEED_LIMIT,	    /**< to all: what a server in need takes */
	FEED_RETRIES,	    /**< to all: what a process of an entry VM spent */
	FEED_WAYS,	    /**< control to entry: VMs that reach a service */
	FEED_AFFINITIES,    /**< to all: where streams were begun */
	FEED_AFFINITY_ASK,  /**< to control: where was a stream begun? */
	FEED_AFFINITY_NONE, /**< control to entry: not known so far */
	FEED_UNSERVED,	    /**< entry to control: outcomes by tier */
	FEED_SHORT,	    /**< control to all: a tier gets too few slots */
	FEED_PART,	    /**< to all: servers that ended under a part */
	FEED_DEMAND,	/**< entry to control: requests since the last one */
	FEED_END,	/**< control to all: a server that wasn't known ended */
	FEED_NEIGHBOURS /**< control to entry: other entry VMs */
};

/** Items of a record, and records in one FEED_AFFINITIES. */
#define FEED_AFFINITY_ITEMS 5
#define FEED_AFFINITIES_MOST 256

/** Services of one route that are named in a FEED_AFFINITY_ASK. */
#define FEED_SERVICES_MOST 8

/** VMs that are named for one service. */
#define FEED_WAYS_MOST 8

/** Entry VMs that one is told of, and items of each. */
#define FEED_NEIGHBOUR_ITEMS 3
#define FEED_NEIGHBOURS_MOST 8

/** Of an interval of 0..1 as it is sent. */
#define INTERVAL_UNITS 1000000

struct feed_poll {
	int64_t sent_us;     /**< entry VM's clock */
	bool marks;	     /**< FEED_MARKS and FEED_BUNDLE are understood */
	int64_t evacuations; /**< revision of the known FEED_EVACUATIONS */
	struct feed_reach reach;
};

struct feed_state {
	int64_t echo_us; /**< of the poll; 0 for a push */
	int64_t age_us;	 /**< since a quorum stood behind it; -1 unknown */
	int64_t version; /**< of the newest document applied, 0 for none */
	int64_t wall_us; /**< wall clock when it was sent */
	/**
	 * Entry VMs that have a link to it or had one lately: what one that has
	 * gone spent of a limit over all VMs is still part of it. 0: unknown.
	 */
	int64_t entry_vms;
	int64_t number; /**< of the receiver among them; -1 unknown */
	/** Its interval of what servers name as limits; equal if unknown. */
	double interval_begin;
	double interval_end;
	int64_t known_us; /**< how far back it knows FEED_RETRIES; 0 unknown */
};

struct feed_fetch {
	bool packed; /**< an encoded, compressed document is understood */
};

struct feed_document {
	int64_t version;
	const char *text; /**< inside the message that was read */
	size_t len;	  /**< of `text` as it travels */
	/**
	 * Length of what document_encode() wrote before it was compressed; 0:
	 * `text` is what the operator sent.
	 */
	size_t unpacked;
};

struct feed_member {
	uint64_t id;
	char *address; /**< owned; IP:port of its links */
	bool removed;
};

/** One server of FEED_ALIVE. */
struct feed_alive {
	char id[BACKEND_NAME_SIZE];
	int64_t started_ms;
	int64_t age_us; /**< since it was heard */
};

/** Servers heard lately, each by registration_short_id(). */
struct feed_marks {
	int64_t age_us;	   /**< since the one was heard that was heard first */
	const char *bytes; /**< inside the message that was read */
	size_t len;
};

/** Registrations, each behind its length as four bytes, compressed. */
struct feed_bundle {
	int64_t age_us; /**< since it was made, to be added to each age */
	size_t unpacked;
	const char *bytes; /**< inside the message that was read */
	size_t len;
};

/** One organisation's part of FEED_BEGUN. */
struct feed_count {
	char *organisation; /**< owned */
	int64_t requests;
};

/** What one entry VM has seen begin in one window, in all so far. */
struct feed_begun {
	int64_t window;
	struct feed_count *counts; /**< owned */
	size_t n_counts;
};

/** A control VM's wall clock, and what it understands. */
struct feed_clock {
	int64_t wall_us;
	bool changes;	  /**< FEED_CHANGE */
	bool evacuations; /**< FEED_EVACUATE */
};

/** A change that an operator has sent to a VM that doesn't lead. */
struct feed_change {
	uint64_t call; /**< the operator's, on that VM */
	int64_t version;
	const char *text; /**< inside the message that was read */
	size_t len;
};

/** What a backend server in need takes, as it told some VM. */
struct feed_limit {
	char id[BACKEND_NAME_SIZE];
	int64_t started_ms;
	double per_s;	/**< from all VMs together; or SERVER_LIMIT_NONE */
	int64_t age_us; /**< since the server said so */
};

/** Entry VMs that reach the backend servers of a service. */
struct feed_ways {
	uint64_t service; /**< hash of its name */
	char callers[FEED_WAYS_MOST][BACKEND_NAME_SIZE];
	int n;
};

struct feed_neighbour {
	uint64_t id;			 /**< on links */
	char links[BACKEND_NAME_SIZE];	 /**< IP:port of its links */
	char callers[BACKEND_NAME_SIZE]; /**< IP:port */
};

struct feed_neighbours {
	struct feed_neighbour list[FEED_NEIGHBOURS_MOST]; /**< best first */
	int n;
};

struct feed_affinity_ask {
	struct affinity_key key;
	bool forward; /**< ask the other control VMs if it isn't known */
	uint64_t services[FEED_SERVICES_MOST]; /**< hashes of names */
	int n_services;
};

struct feed_affinity_none {
	struct affinity_key key;
	bool versions_differ; /**< of a service that was named */
	int64_t voters;	      /**< among the control VMs; 0: not told */
	bool votes;	      /**< the one that says so is one of them */
};

struct feed_changed {
	uint64_t call;
	int64_t code; /**< enum result */
};

/** An operator's order for a zone that has come to a VM that doesn't lead. */
struct feed_evacuate {
	uint64_t call; /**< the operator's, on that VM */
	struct evacuation_order order;
};

/** Outcomes of requests since the last message. */
struct feed_unserved {
	char service[BACKEND_NAME_SIZE];
	struct unserved_count counts[SCHED_TIERS];
};

struct feed_short {
	char service[BACKEND_NAME_SIZE];
	int tier;
	double part; /**< of its requests that gets nothing, 0..1 */
};

/** One message as it was read. */
struct feed_message {
	enum feed_kind kind;
	union {
		struct feed_poll poll;
		struct feed_state state;
		struct feed_fetch fetch;
		struct feed_document document;
		struct feed_member member;
		struct registration registration;
		struct feed_begun begun;
		struct feed_marks marks;
		struct feed_bundle bundle;
		struct feed_clock clock;
		struct feed_change change;
		struct feed_changed changed;
		struct feed_evacuate evacuate;
		struct evacuations evacuations;
		struct feed_limit limit;
		struct retry_report retries;
		struct feed_ways ways;
		struct feed_neighbours neighbours;
		struct feed_affinity_ask affinity_ask;
		struct feed_affinity_none affinity_none;
		struct feed_unserved unserved;
		struct feed_short tier_short;
		int64_t demand;		 /**< requests */
		struct registry_end end; /**< `at_us` counts from its sending */
		struct part_report part;
		struct poison_report
			crashes; /**< times count from its sending */
	} u;
	int64_t age_us; /**< of a registration, since the server was heard */
	struct feed_alive *alive;
	size_t n_alive;
	struct affinity *affinities; /**< expire so long after the sending */
	size_t n_affinities;
};

void feed_write_poll(struct bytes *out, const struct feed_poll *poll);
void feed_write_state(struct bytes *out, const struct feed_state *state);
void feed_write_fetch(struct bytes *out, const struct feed_fetch *fetch);
void feed_write_document(struct bytes *out,
			 const struct feed_document *document);
void feed_write_member(struct bytes *out, const struct feed_member *member);
void feed_write_registration(struct bytes *out,
			     const struct registration *registration,
			     int64_t age_us);
void feed_write_end(struct bytes *out, const struct registry_end *end,
		    int64_t now_us);
void feed_write_alive(struct bytes *out, const struct feed_alive *alive,
		      size_t n_alive);
void feed_write_marks(struct bytes *out, const struct feed_marks *marks);

/** Append a mark to the bytes of a list, and read the one at `i`. */
void feed_add_mark(struct bytes *bytes, uint64_t mark);
uint64_t feed_mark_at(const struct feed_marks *marks, size_t i);
size_t feed_marks_count(const struct feed_marks *marks);
void feed_write_begun(struct bytes *out, const struct feed_begun *begun);
void feed_write_bundle(struct bytes *out, const struct feed_bundle *bundle);

/** Append a message to what is to be a bundle. */
void feed_bundle_add(struct bytes *list, const struct bytes *message);

/**
 * Take the first message off the list that starts at `*data`.
 *
 * @return false at the end, or if the rest is malformed
 */
bool feed_bundle_next(const char **data, size_t *len, const char **message,
		      size_t *message_len);
void feed_begun_clear(struct feed_begun *begun);

/** The array of a window's counts behind any kind; the log has them too. */
void feed_pack_begun(struct bytes *out, int64_t kind,
		     const struct feed_begun *begun);

/** Read such an array; `begun` is to be cleared in any case. */
bool feed_unpack_begun(const struct unpacked *items, struct feed_begun *begun);

void feed_write_clock(struct bytes *out, const struct feed_clock *clock);
void feed_write_change(struct bytes *out, const struct feed_change *change);
void feed_write_changed(struct bytes *out, const struct feed_changed *changed);
void feed_write_evacuate(struct bytes *out,
			 const struct feed_evacuate *evacuate);
void feed_write_evacuations(struct bytes *out,
			    const struct evacuations *evacuations);

/** What is known of the registered server's limit. */
void feed_write_limit(struct bytes *out, const struct registry_entry *server,
		      int64_t now_us);
void feed_write_crashes(struct bytes *out, const struct poison_report *report,
			int64_t now_us);

/** At most FEED_AFFINITIES_MOST records. */
void feed_write_affinities(struct bytes *out, const struct affinity *affinities,
			   size_t n, int64_t now_us);
void feed_write_affinity_ask(struct bytes *out,
			     const struct feed_affinity_ask *ask);
void feed_write_affinity_none(struct bytes *out,
			      const struct feed_affinity_none *none);
void feed_write_ways(struct bytes *out, const struct feed_ways *ways);
void feed_write_neighbours(struct bytes *out,
			   const struct feed_neighbours *neighbours);
void feed_write_retries(struct bytes *out, const struct retry_report *report);
void feed_write_part(struct bytes *out, const struct part_report *report);
void feed_write_demand(struct bytes *out, int64_t requests);
void feed_write_unserved(struct bytes *out, const char *service,
			 const struct unserved_count counts[SCHED_TIERS]);
void feed_write_short(struct bytes *out, const struct feed_short *told);

/** The array of all zones behind any kind; the log's snapshots have it too. */
void feed_pack_evacuations(struct bytes *out, int64_t kind,
			   const struct evacuations *evacuations);

/** Read such an array into an empty set, to be cleared in any case. */
bool feed_unpack_evacuations(const struct unpacked *items,
			     struct evacuations *evacuations);

/**
 * Read a message. What it points to stays valid as long as `data`, and until
 * feed_clear().
 *
 * @return false if it is malformed; nothing is to be cleared then
 */
bool feed_read(struct feed_message *message, const char *data, size_t len);

void feed_clear(struct feed_message *message);

#endif
