#ifndef FILBERTHALL_FLEET_REGISTRY_H
#define FILBERTHALL_FLEET_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/map.h"
#include "fleet/backend.h"
#include "fleet/registry_end.h"

/**
 * Table of backend servers. Each server registers with some control VM, which
 * forwards the registration to the other control VMs and to the entry VMs.
 *
 * Failures handled: registrations arrive late, twice, out of order and through
 * several VMs. If all were applied, a late "ready" would add a server again
 * that has stopped, or whose address belongs to another service by now, and
 * requests would be sent there. So each start of a server is identified by its
 * start time, the registrations of one start are ordered by a sequence number,
 * and a start that is gone is never used again.
 *
 * A server times out if no VM has had contact with it, but only while other
 * servers are in contact. If the control VMs themselves have failed, the last
 * known servers continue to be used.
 */

/** Registration of one start of a backend server. Plain data, may be copied. */
struct registration {
	char id[BACKEND_NAME_SIZE];
	char address[BACKEND_NAME_SIZE]; /**< IP:port */
	char service[BACKEND_NAME_SIZE];
	char zone[BACKEND_NAME_SIZE];
	char version[BACKEND_NAME_SIZE]; /**< of its software; may be empty */
	int64_t started_ms; /**< wall clock at its start; 0 if not given */
	int64_t sequence;   /**< incremented with each message of this start */
	int64_t slots;	    /**< concurrent requests */
	int64_t leaves_ms;  /**< wall clock at its planned end, 0 if unknown */
	int64_t cold_ms;    /**< it bears few requests for so long from now */
	bool cheap;	    /**< may be reclaimed, together with its zone */
	bool leaving;	    /**< gets no new requests */
	bool gone;	    /**< this start has ended for good */
};

/** Numbers of a registration at most, and its slots. */
#define REGISTRATION_NUMBER_MOST (INT64_C(1) << 50)
#define REGISTRATION_SLOTS_MOST 65536

/**
 * Whether it names a server that requests can be sent to. Others write
 * registrations too, and other releases pass them on: what isn't usable is left
 * out wherever it comes from.
 */
bool registration_is_usable(const struct registration *registration);

/** What a server in need says of the requests that it takes. */
struct server_limit {
	double per_s;	   /**< from all VMs together; or SERVER_LIMIT_NONE */
	int64_t heard_us;  /**< when the server said so, own clock */
	int64_t direct_us; /**< when it last said anything to this VM */
};

#define SERVER_LIMIT_NONE (-1.0)

/** The latest registration of a server, and its state here. */
struct registry_entry {
	struct map_node node;	      /**< by id */
	struct map_node address_node; /**< by address, unless gone */
	struct map_node
		short_id_node; /**< by registration_short_id(), unless gone */
	bool indexed; /**< address_node and short_id_node are in maps */
	struct registration registration;
	uint64_t service; /**< hashes of what it registered */
	uint64_t version;
	int64_t last_contact_us; /**< of any VM with the server, own clock */
	int64_t last_direct_contact_us; /**< of this VM with the server */
	int64_t unreached_us;  /**< when a connection last couldn't be made */
	int64_t probed_us;     /**< when it was probed as it had broken off */
	int64_t cold_until_us; /**< end of cold_ms, own clock */
	bool timed_out;	       /**< no contact, while others had some */
	struct server_limit limit;
	double limit_told; /**< what the other VMs know of it */
	int64_t limit_told_us;
	bool told_leaving;   /**< it said so to this VM, in an answer */
	int64_t retry_at_us; /**< it asked this VM for nothing until then */
};

struct registry {
	struct map by_id;
	struct map by_address;	 /**< entries that aren't gone */
	struct map by_short_id;	 /**< entries that aren't gone */
	int64_t last_contact_us; /**< with any server */
	int64_t timeout_us;	 /**< see REGISTRY_TIMEOUT_MIN_US */
	int64_t confirmed_us;	 /**< see registry_is_confirmed() */
	int64_t since_us;	 /**< from when servers are watched */
	struct list versions;	 /**< that services have or lately had */
	int n_versions;
	struct registry_ends ends;
};

/** Starts that are kept at most; gone and timed-out ones count. */
#define REGISTRY_ENTRIES_MOST 16384

/** Versions of services that are kept at most. */
#define REGISTRY_VERSIONS_MOST 1024

/** A cold time that ends later than known by more than this is a change. */
#define REGISTRY_COLD_CHANGE_US INT64_C(500000)

/** Result of a registration. */
enum registry_outcome {
	REGISTRY_STALE,	    /**< older than the known one, ignored */
	REGISTRY_REFRESHED, /**< nothing changed but the time of contact */
	REGISTRY_CHANGED,   /**< changed, to be forwarded */
	REGISTRY_FULL,	    /**< no room for another server, ignored */
};

/**
 * A server gets no requests after so many announcement intervals without
 * contact, but at least this time, until it is in contact again. The timeout is
 * long enough that a server isn't lost only because the VM that received its
 * last announcements was cut off.
 */
#define REGISTRY_TIMEOUT_INTERVALS 6
#define REGISTRY_TIMEOUT_MIN_US INT64_C(8000000)

/**
 * How long a start that is gone is kept: a network partition may delay its
 * messages by minutes.
 */
#define REGISTRY_TOMBSTONE_US INT64_C(600000000)

/** One announcement may be missing; control VMs tell of each within 0.25 s. */
#define REGISTRY_CONFIRM_INTERVALS 2
#define REGISTRY_CONFIRM_TOLD_US INT64_C(500000)

/**
 * `announce_interval_us`: of a backend server, 0 if unknown. `since_us`: this VM
 * hasn't watched the servers before then.
 */
void registry_init(struct registry *registry, int64_t announce_interval_us,
		   int64_t since_us);
void registry_clear(struct registry *registry);

/**
 * Apply a registration that a VM received at `contact_us`.
 *
 * @param replaced	set to an older start at the same address, which is
 *			marked as gone, or NULL
 */
enum registry_outcome registry_update(struct registry *registry,
				      const struct registration *update,
				      int64_t contact_us,
				      struct registry_entry **replaced);

/** Mark a server that has unregistered as gone. NULL if it is unknown. */
struct registry_entry *registry_mark_gone(struct registry *registry,
					  const char *id);

/**
 * Apply an end: starts of the server from before it are gone, whether they are
 * known here or their registrations are still to arrive.
 *
 * @return the known start if it has ended by this, or NULL
 */
struct registry_entry *registry_end(struct registry *registry,
				    const struct registry_end *end);

/** Record contact with a start; NULL if that isn't the known one, or gone. */
struct registry_entry *registry_heartbeat(struct registry *registry,
					  const char *id, int64_t born_ms,
					  int64_t contact_us);

/** Short id of a start on links: REGISTRATION_SHORT_ID_BYTES of a hash. */
#define REGISTRATION_SHORT_ID_BYTES 5
uint64_t registration_short_id(const char *id, int64_t born_ms);

/** The entry with that short id, or NULL if there is none or it is gone. */
struct registry_entry *registry_find_short_id(const struct registry *registry,
					      uint64_t short_id);

/** Record contact with some server, known or not. */
void registry_note_contact(struct registry *registry, int64_t contact_us);

/** Whether the server may get new requests. */
bool registry_entry_usable(const struct registry_entry *entry);

/**
 * What another VM was told counts against what this VM was told itself only if
 * that is older by this: messages between VMs may be late, and a limit must
 * not end by an old one.
 */
#define SERVER_LIMIT_NEWS_US INT64_C(2000000)

/** Record the limit that a server named to this VM; true if it is another. */
bool registry_hear_limit(struct registry_entry *entry, double per_s,
			 int64_t now_us);

/** The same for what it named to another VM, at `heard_us` by this clock. */
bool registry_merge_limit(struct registry_entry *entry, double per_s,
			  int64_t heard_us);

/**
 * Software versions of a service's servers, by hash, also of those that have
 * ended in the last REGISTRY_TOMBSTONE_US: streams that they began may be
 * resumed.
 */
struct registry_versions {
	uint64_t version; /**< one of them, 0 for none */
	bool differ;
};

struct registry_versions registry_versions(const struct registry *registry,
					   uint64_t service);

/** Whether that is one of them. */
bool registry_has_version(const struct registry *registry, uint64_t service,
			  uint64_t version);

/** Call `visit` for each version that registry_versions() goes by. */
void registry_visit_versions(const struct registry *registry,
			     void (*visit)(void *data, uint64_t service,
					   uint64_t version),
			     void *data);

/**
 * Whether the server was in contact lately, since this VM began to watch it and
 * since it couldn't connect to it, so that it can't have started again with
 * another version unnoticed. Others' contacts are the measure, as for a
 * time-out.
 */
bool registry_is_confirmed(const struct registry *registry,
			   const struct registry_entry *entry);

/** Number of servers that may get new requests. */
int registry_count_usable(const struct registry *registry);

struct registry_entry *registry_find(const struct registry *registry,
				     const char *id);

/** The entry with that address that isn't gone, or NULL. */
struct registry_entry *registry_find_address(const struct registry *registry,
					     const char *address);

/**
 * Mark servers without contact as timed out, and free entries that are gone for
 * REGISTRY_TOMBSTONE_US, or timed out while there is no room for others. Calls `on_timeout` (NULL is allowed) for each server
 * that has newly timed out.
 */
void registry_expire(struct registry *registry, int64_t now_us,
		     void (*on_timeout)(void *data,
					struct registry_entry *entry),
		     void *data);

#endif
