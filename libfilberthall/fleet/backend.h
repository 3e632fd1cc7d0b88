#ifndef FILBERTHALL_FLEET_BACKEND_H
#define FILBERTHALL_FLEET_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/map.h"
#include "base/result.h"
#include "core/event.h"
#include "fleet/health.h"

/**
 * Registry of backend servers. There is no list of them: each announces
 * itself about once a second to some VM, which passes it on to the others.
 *
 * Failures that it answers: announcements overtake each other on the way. An
 * old one that arrives after the server has left or was started anew would
 * bring back a server that is gone, and requests would be sent to nobody. So
 * a departed server leaves a tombstone: its boot id and last sequence, or,
 * if a newer boot took its address, its boot id for good.
 *
 * Load reports lag by seconds. Without counting own work on top of the last
 * report, a VM sends a whole burst to the one server that looked idle.
 *
 * A tombstone outlives any announcement still on its way, also one held up by
 * a partition. The ring of own starts and ends reaches 16 s back: an older
 * report says nothing any more, and the lease runs out before that.
 */

#define BACKEND_NAME_SIZE 64
#define BACKEND_ADAPTERS_SIZE 512
#define BACKEND_RING 64
#define BACKEND_RING_STEP_US INT64_C(250000)
#define BACKEND_TOMBSTONE_US INT64_C(600000000)
#define BACKEND_TOMBSTONES 4096
#define BACKEND_LEASE_DEFAULT_MS 5000

/** Requests at once where a server doesn't say: a small plain service. */
#define BACKEND_SLOTS_DEFAULT 64

/** Own work on a server, counted by this VM. */
struct backend_own {
	int64_t running;       /**< attempts started and not ended */
	int64_t long_running;  /**< of them, those with long outputs */
	int64_t prompt_tokens; /**< of attempts without a first token */
	double work;	       /**< estimated tokens still to come */
	int64_t ring_at;       /**< step number of the newest slot */
	int32_t started[BACKEND_RING];
	int32_t ended[BACKEND_RING];
	int64_t prompts[BACKEND_RING];
};

struct backend {
	struct map_node node; /**< by address */
	char address[BACKEND_NAME_SIZE];
	char boot_id[BACKEND_NAME_SIZE];
	char zone[BACKEND_NAME_SIZE];
	char service[BACKEND_NAME_SIZE]; /**< empty for an engine */
	char model[BACKEND_NAME_SIZE];
	char version[BACKEND_NAME_SIZE];
	char role[BACKEND_NAME_SIZE];
	char adapters[BACKEND_ADAPTERS_SIZE];
	bool cheap;
	bool leaving;
	bool drained; /**< by an operator's or the system's order */
	bool fences;
	bool for_paced;	      /**< kept for paced streams (load/divide.h) */
	bool forward_pending; /**< figures heard directly, not yet passed on */
	int64_t sequence;
	int64_t lease_end_us;
	int64_t slots;
	int64_t running;
	int64_t queued;
	int64_t queued_prompt_tokens;
	int64_t kv_tokens;
	int64_t kv_used;
	double prefill_rate;
	double decode_rate;
	int64_t report_us; /**< when the load figures were true */
	struct backend_own own;
	struct health health;
};

struct fleet {
	struct map backends;
	struct map tombstones;
	uint64_t version;  /**< grows when who may get work changes */
	uint64_t removals; /**< grows when one is freed or changes its work */
};

/** What an announcement did. */
enum announce_outcome {
	ANNOUNCE_STALE,	  /**< ignored */
	ANNOUNCE_UPDATED, /**< new figures of a known server */
	ANNOUNCE_JOINED,  /**< a new server or a new boot of one */
	ANNOUNCE_LEFT	  /**< it now leaves: no new work */
};

void fleet_init(struct fleet *fleet);
void fleet_clear(struct fleet *fleet);

/** Take an announcement in, heard directly or from another daemon. */
enum announce_outcome fleet_announce(struct fleet *fleet,
				     const struct event_announce *announce,
				     int64_t now_us);

/**
 * Remove servers whose lease has run out and tombstones past their time.
 * Calls `gone` with each server before it is freed (NULL is allowed).
 * Returns the number of servers removed.
 */
int fleet_expire(struct fleet *fleet, int64_t now_us,
		 void (*gone)(void *data, const struct backend *backend),
		 void *data);

/** The server at that address, or NULL. */
struct backend *fleet_find(const struct fleet *fleet, const char *address);

/** No new work for a server (or again some); false if it is unknown. */
bool fleet_drain(struct fleet *fleet, const char *address, bool drained);

/**
 * A start that won't work again: no new work, and out of the fleet when
 * fleet_expire() is called after `until_us`, unless it is announced anew. Until
 * then its counts stay for the attempts that still end there.
 */
void fleet_retire(struct fleet *fleet, const char *address, int64_t until_us);

/** Whether the server may get new work: alive, not leaving, not drained. */
bool backend_usable(const struct backend *backend, int64_t now_us);

/** Whether it serves this model, adapter (or NULL) or service. */
bool backend_serves(const struct backend *backend, const char *model,
		    const char *adapter, const char *service);

/**
 * Let load figures fade that come only with answers: halve those older than
 * `step_us`; to be called once in each such step.
 *
 * Failure answered: a server said that it is full, so nothing is sent there,
 * so it says nothing more. Without fading it stays full for ever: a plain
 * service of four servers got no request from a VM any more, while its
 * callers waited out their deadlines.
 */
void fleet_decay_load(struct fleet *fleet, int64_t step_us, int64_t now_us);

/** Count an attempt that was started. */
void backend_started(struct backend *backend, int64_t prompt_tokens,
		     double work, bool is_long, int64_t now_us);

/** Its first token came: the prefill is done. */
void backend_prefilled(struct backend *backend, int64_t prompt_tokens);

/** Count an attempt that has ended. `prompt_tokens` is 0 after prefill. */
void backend_ended(struct backend *backend, int64_t prompt_tokens, double work,
		   bool is_long, int64_t now_us);

/** Estimated requests on the server now: last report and own since. */
double backend_load(const struct backend *backend);

/** Estimated prompt tokens that wait for prefill there now. */
double backend_queued_prompt(const struct backend *backend, int64_t now_us);

/** Mark stragglers among the servers of each model. */
void fleet_compare(struct fleet *fleet);

/**
 * Write one server's announcement for LINK_FLEET: msgpack, an array of the
 * fields of `struct event_announce` in their order, with the lease that is
 * left and the present age of the figures.
 */
void backend_pack(const struct backend *backend, int64_t now_us,
		  struct bytes *to);

/**
 * Read what backend_pack() wrote into a zeroed announcement, whose text is
 * then owned by the caller (event_announce_clear()).
 * Returns RESULT_OK or RESULT_MESSAGE_MALFORMED.
 */
enum result backend_unpack(struct event_announce *announce, const void *data,
			   size_t len);

void event_announce_clear(struct event_announce *announce);

#endif
