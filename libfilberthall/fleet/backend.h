#ifndef FILBERTHALL_FLEET_BACKEND_H
#define FILBERTHALL_FLEET_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/map.h"
#include "base/name.h"
#include "base/result.h"
#include "core/event.h"
#include "fleet/evacuation.h"
#include "fleet/health.h"
#include "fleet/silence.h"
#include "fleet/load_mean.h"

/**
 * Table of the backend servers that are known. They aren't configured: each
 * server announces itself about once a second to some VM, which forwards the
 * announcement to the others.
 *
 * Failure handled: announcements arrive out of order. An old one that arrives
 * after the server has stopped or restarted would add a server that no longer
 * exists, and requests would be sent to it. So a tombstone is kept for each
 * removed server: its boot id and last sequence number. If a newer boot took
 * over its address, every announcement of the old boot id is ignored.
 *
 * Load reports lag by seconds. If a VM didn't add the attempts that it started
 * since the last report, it would send a whole burst to one server that looked
 * idle.
 *
 * A tombstone is kept for longer than an announcement can be delayed, also by
 * a network partition. The ring of local starts and ends covers 16 s: older
 * reports are of no use, and the announcement's lease expires before that.
 */

#define BACKEND_NAME_SIZE NAME_SIZE
#define BACKEND_ADAPTERS_SIZE 512
#define BACKEND_RING 64
#define BACKEND_RING_STEP_US INT64_C(250000)
#define BACKEND_TOMBSTONE_US INT64_C(600000000)
#define BACKEND_TOMBSTONES 4096
#define BACKEND_LEASE_DEFAULT_MS 5000

/** Concurrent requests of a server that announces no slots: a small service. */
#define BACKEND_SLOTS_DEFAULT 64

/** Load that this VM has put on a server. */
struct backend_own {
	int64_t running;       /**< attempts started and not ended */
	int64_t long_running;  /**< those of them with long outputs */
	int64_t prompt_tokens; /**< of attempts in prefill */
	double work;	       /**< estimated tokens to be generated */
	int64_t ring_at;       /**< step number of the newest element */
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
	/** Of its software, or of its weights if it announces those. */
	char version[BACKEND_NAME_SIZE];
	uint64_t version_hash; /**< map_hash_text(); a stream stays at one */
	bool unconfirmed;      /**< it may have another version by now */
	int64_t lingers_us; /**< leaves, but gets resumed streams until then */
	char role[BACKEND_NAME_SIZE];
	char adapters[BACKEND_ADAPTERS_SIZE];
	bool cheap;
	bool leaving;
	bool drained;	/**< set by an operator or by this software */
	bool evacuated; /**< its zone is (fleet/evacuation.h) */
	bool fences;
	uint64_t regions;     /**< set of its own one (fleet/region.h) */
	bool for_paced;	      /**< reserved for paced streams (load/divide.h) */
	bool forward_pending; /**< announced to this VM, load not yet forwarded */
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
	int64_t report_us;     /**< when the load figures were measured */
	double cold_per_s;     /**< requests/s that it bears while cold, of all
				    VMs together; 0 for no bound */
	int64_t cold_until_us; /**< cold before this time */
	int64_t cold_second;   /**< load/warmup.h: when it was last sent one */
	int64_t cold_sent;     /**< and how many in that second */
	bool limited;	       /**< it names a limit (load/server_limit.h) */
	double limit_per_s;    /**< requests/s from all VMs together */
	int64_t limit_second;  /**< when it was last sent one */
	int64_t limit_sent;    /**< and how many in that second */
	int64_t retry_at_us;   /**< load/backoff.h: it asked for nothing until
				  then; 0: it never did */
	int64_t retried_us;    /**< when it first got a request after that */
	struct backend_own own;
	struct silence silence; /**< while it runs requests of this VM */
	struct health health;
};

struct fleet {
	struct map backends;
	struct map tombstones;
	struct evacuations evacuations; /**< of zones, also without servers */
	struct load_means load_means;
	uint64_t version; /**< incremented when the usable servers change */
	uint64_t
		removals; /**< incremented when one is freed or changes service */
};

/** Result of handling an announcement. */
enum announce_outcome {
	ANNOUNCE_STALE,	  /**< out of date, ignored */
	ANNOUNCE_UPDATED, /**< new load figures of a known server */
	ANNOUNCE_JOINED,  /**< a new server, or a known one that restarted */
	ANNOUNCE_LEFT	  /**< the server is about to stop: no new requests */
};

void fleet_init(struct fleet *fleet);
void fleet_clear(struct fleet *fleet);

/** Apply an announcement, received from the server or from another daemon. */
enum announce_outcome fleet_announce(struct fleet *fleet,
				     const struct event_announce *announce,
				     int64_t now_us);

/**
 * Remove servers whose lease has expired, and expired tombstones.
 * Calls `gone` with each server before it is freed (NULL is allowed).
 * Returns the number of servers removed.
 */
int fleet_expire(struct fleet *fleet, int64_t now_us,
		 void (*gone)(void *data, const struct backend *backend),
		 void *data);

/** Returns the hash of one start of a server. */
uint64_t backend_start(const char *address, const char *boot_id);

/** The server at that address, or NULL. */
struct backend *fleet_find(const struct fleet *fleet, const char *address);

/** Stop or resume sending new requests to a server; false if it is unknown. */
bool fleet_drain(struct fleet *fleet, const char *address, bool drained);

/** Stop or resume sending new requests to a zone's servers, new ones too. */
void fleet_evacuate(struct fleet *fleet, const char *zone, bool evacuated);

/**
 * A server process that won't serve again: it gets no new requests and is
 * removed by the first fleet_expire() after `until_us`, unless it is announced
 * again. Until then its counts are kept for the attempts that still run there.
 */
void fleet_retire(struct fleet *fleet, const char *address, int64_t until_us);

/**
 * Whether the server may get new requests: alive, not leaving, neither drained
 * nor in an evacuated zone.
 */
bool backend_usable(const struct backend *backend, int64_t now_us);

/**
 * Whether a server that leaves may still get a stream that can go on at its
 * version alone.
 */
bool backend_lingers(const struct backend *backend, int64_t now_us);

/** Whether the server is in one of the regions; 0 stands for all. */
bool backend_in_regions(const struct backend *backend, uint64_t regions);

/** Whether the server serves this model and adapter (or NULL), or service. */
bool backend_serves(const struct backend *backend, const char *model,
		    const char *adapter, const char *service);

/** A server's report of its load, in a response; 0 slots: it names none. */
void fleet_report_load(struct fleet *fleet, const char *address,
		       int64_t running, int64_t queued, int64_t slots,
		       int64_t now_us);

/**
 * Bring load figures older than `step_us` halfway to what servers of the same
 * service report on average. For servers that report their load only in
 * responses; to be called once every `step_us`.
 *
 * Failure handled: a server reports that it is full, so no request is sent to
 * it, so no further report comes. Without the decay it would count as full for
 * ever: a VM sent no more requests to any of a service's four servers, and
 * the callers waited until their deadlines. So an old report leaves a slot
 * free.
 */
void fleet_decay_load(struct fleet *fleet, int64_t step_us, int64_t now_us);

/** A retired server gets resumed streams until then. */
void fleet_let_linger(struct fleet *fleet, const char *address,
		      int64_t until_us);

/** Whether the server may have started again with another version. */
void fleet_set_unconfirmed(struct fleet *fleet, const char *address,
			   bool unconfirmed);

/** Set until when a server is cold and the bound that holds so long. */
void fleet_set_cold(struct fleet *fleet, const char *address, int64_t until_us,
		    double per_s);

/** Set the limit that a server names, in requests/s; negative for none. */
void fleet_set_limit(struct fleet *fleet, const char *address, double per_s);

/** Set until when a server gets nothing, as it asked; 0 for no such time. */
void fleet_set_retry_at(struct fleet *fleet, const char *address,
			int64_t retry_at_us);

/** Whether it runs requests of this VM and has written nothing for so long. */
bool backend_is_silent(const struct backend *backend, int64_t for_us,
		       int64_t now_us);

/** Count an attempt that was started on the server. */
void backend_started(struct backend *backend, int64_t prompt_tokens,
		     double work, bool is_long, int64_t now_us);

/** Count the end of an attempt's prefill, when its first token arrives. */
void backend_prefilled(struct backend *backend, int64_t prompt_tokens);

/** Count the end of an attempt. `prompt_tokens` is 0 after prefill. */
void backend_ended(struct backend *backend, int64_t prompt_tokens, double work,
		   bool is_long, int64_t now_us);

/** Estimated requests on the server: last report plus local changes since. */
double backend_load(const struct backend *backend);

/** Estimated prompt tokens that wait for prefill on the server. */
double backend_queued_prompt(const struct backend *backend, int64_t now_us);

/** Mark the servers that are much slower than others of the same model. */
void fleet_update_stragglers(struct fleet *fleet);

/**
 * Write one server's announcement for LINK_FLEET: a msgpack array of the
 * fields of `struct event_announce` in their order, with the remaining lease
 * and the current age of the load figures.
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
