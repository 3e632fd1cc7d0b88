#ifndef TESTS_ENTRY_BED_H
#define TESTS_ENTRY_BED_H

#include "entry/entry.h"
#include "fleet/registry.h"
#include "load/affinity.h"

#define SECOND INT64_C(1000000)
#define ROUTES 150 /* each with its own latency target */
#define CONTROL 1
#define ENGINE "10.0.0.1:80"
#define CHEAP "10.0.0.2:80"
#define STEADY "10.0.0.3:80"
#define COLD_MS 3000   /* a server of "desk" that starts */
#define BOARD_KEY "kb" /* key of the organisation with the highest rank */

/* One entry VM and one control VM, whose messages the test sends. */
struct bed {
	struct entry *entry;
	struct effects effects;
	int64_t now_us;
	int64_t polled_us; /* send time of the last poll */
	bool fetched;
	bool fetch_compressed; /* the last request accepted a compressed document */
	uint64_t next_id;
	uint64_t started; /* the request sent to a server last */
	uint64_t answered;
	int64_t code;
	int64_t run;
	int64_t retry_ms;
	bool exited;
	int usage_reports;	   /* usage reports sent */
	int64_t reported_requests; /* count of one organisation in the last report */
	char started_at[BACKEND_NAME_SIZE]; /* server of that request */
	int at_steady;			    /* attempts at STEADY */
	int64_t entry_vms; /* number of entry VMs that the control VM reports */
	int asks;	   /* about streams that requests resume */
	struct affinity_key asked;
	int told; /* streams that the control VMs were told of */
};

/** Delivers a control VM's answer to a poll: age and version. */
void bed_deliver_state(struct bed *bed, int64_t echo_us, int64_t age_us,
		       int64_t version);
/** As its key: the document has no organisation, but an empty list of them. */
#define BED_NO_KEYS "none"

/** Delivers the document of that version, with one valid key. */
void bed_deliver_document(struct bed *bed, int64_t version, const char *key);
/** Delivers the same document, compressed. */
void bed_deliver_compressed(struct bed *bed, int64_t version, const char *key);
/** Delivers a compressed document that can't be decompressed. */
void bed_deliver_damaged(struct bed *bed, int64_t version);
/** Delivers the registration of another server, permanent or reclaimable. */
void bed_deliver_server(struct bed *bed, const char *address, int64_t sequence,
			bool cheap, bool leaving);
/** Delivers the registration of the server at ENGINE. */
void bed_deliver_engine(struct bed *bed, int64_t sequence, bool leaving);
/** Delivers that it has started again at another address. */
void bed_move_engine(struct bed *bed, const char *address);
/** Delivers the state of one zone's evacuation. */
void bed_deliver_evacuation(struct bed *bed, const char *zone, bool evacuated,
			    int64_t revision);
/** Delivers a registration of service "desk"; its address is its id. */
void bed_deliver_registration(struct bed *bed, const char *address,
			      struct registration told);
/** Delivers marks for that server, and for ENGINE too if `engine`. */
void bed_deliver_marks(struct bed *bed, const char *address, bool engine);
/** Delivers two more registrations in a bundle, complete or truncated. */
void bed_deliver_bundle(struct bed *bed, bool whole);
/** Delivers the VMs that reach the servers of "desk". */
void bed_deliver_ways(struct bed *bed, int n, const char *const *callers);
/** A new connection to a server stands, or fails. */
void bed_connect(struct bed *bed, const char *address, bool stands);
/** Advances the clock, with ticks. */
void bed_advance(struct bed *bed, int64_t us);
/** Starts a fresh entry VM with version 1, key "k1" and ENGINE. */
void bed_start(struct bed *bed);
void bed_end(struct bed *bed);
/** Submits a request and returns its id. `key` may be NULL. */
uint64_t bed_ask(struct bed *bed, const char *path, const char *key);
/** The same with all that the request says; id and host are the bed's. */
uint64_t bed_submit(struct bed *bed, struct entry_request request);
/** The first event of a request's first attempt has come. */
void bed_begin_event(struct bed *bed, uint64_t id);
/** Delivers that the control VM doesn't know a stream. */
void bed_deliver_unknown(struct bed *bed, bool versions_differ);
/** Ends the first attempt of a request. */
void bed_end_attempt(struct bed *bed, uint64_t id, enum result code,
		     int64_t status, bool sent);
/** Ends attempt number `attempt` of a request, counted from 1. */
void bed_end_nth(struct bed *bed, uint64_t id, int64_t attempt,
		 enum result code, int64_t status, bool sent);
/** Checks that the last answer refuses that request as not run. */
void bed_check_refused(struct bed *bed, uint64_t id, enum result code);

#endif
