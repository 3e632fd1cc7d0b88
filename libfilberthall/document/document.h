#ifndef FILBERTHALL_DOCUMENT_DOCUMENT_H
#define FILBERTHALL_DOCUMENT_DOCUMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/error.h"
#include "base/map.h"
#include "base/result.h"

/**
 * The configuration as one versioned document: which requests go to which
 * service, what may be repeated, who holds which key, and the bounds of what
 * callers may send. Whoever receives one fills it in, calls document_check()
 * and only then lets it take effect, whole.
 */

/** What a route's requests are and whether they may be repeated. */
enum route_kind {
	ROUTE_IDEMPOTENT, /**< plain service, may run more than once */
	ROUTE_ONCE,	  /**< plain service, runs at most once */
	ROUTE_STREAM	  /**< a model's answer, event by event */
};

/** One of the services among which a route divides its requests. */
struct route_split {
	char *service; /**< its name_shorten() */
	int64_t weight;
};

struct route {
	struct map_node node; /**< by host and prefix */
	char *name;
	char *host;
	char *prefix; /**< begins and ends with a slash */
	enum route_kind kind;
	bool resumable;	    /**< a stream may go on at another server */
	bool open;	    /**< needs no key */
	int64_t timeout_ms; /**< a caller is kept waiting so long at most */
	int64_t goal_ms;    /**< answer, or first event, due after arrival */
	int64_t pause_ms;   /**< longest pause between events, 0 for none */
	int tier;	    /**< 0 is the highest */
	int attempts;	    /**< backend servers that may run one request */
	struct route_split *splits;
	size_t n_splits;
	char **regions;	  /**< whose servers may run its requests */
	size_t n_regions; /**< 0: those of all regions */
};

/** A zone in which a service's servers may be ordered. */
struct service_zone {
	char *name; /**< name_shorten() of the whole one */
	char *full_name;
	double price; /**< of a second of a server there */
};

/** What a service says of the servers that may be ordered for it. */
struct service_scaling {
	bool allowed;
	int64_t least; /**< servers in each zone, of both kinds together */
	int64_t most;
	int64_t boot_ms;
	double cheap_price; /**< part of the price of the others, 0 for none */
	struct service_zone *zones;
	size_t n_zones;
};

struct service {
	char *name; /**< name_shorten() of the whole one */
	char *full_name;
	char *health_path;
	int64_t connections; /**< from all VMs together, to one server */
	int64_t slots;	     /**< of a model engine, 0 for a plain service */
	int64_t kv_tokens;   /**< memory of a model engine */
	int64_t cold_ms;     /**< a server that starts is cold for so long */
	double cold_per_s;   /**< requests that a cold one bears, 0: no bound */
	struct service_scaling scaling;
};

struct document_key {
	struct map_node node; /**< by text */
	char *text;
	size_t organisation; /**< index */
};

struct document_organisation {
	char *name;
	int tier; /**< goes before the route's; -1 for none of its own */
	struct document_key **keys;
	size_t n_keys;
	char **regions; /**< as of a route; both bind */
	size_t n_regions;
};

/** Bounds of what a caller may send and how long it may take. */
struct document_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_ms; /**< to send a request's head */
	int64_t idle_ms;   /**< a kept connection without a request */
};

struct document {
	int64_t version; /**< the highest one is in force */
	struct document_limits limits;
	struct service *services;
	size_t n_services;
	struct route *routes;
	size_t n_routes;
	struct document_organisation *organisations;
	size_t n_organisations;
	bool keyed; /**< callers need a key, also where no organisation is left */
	struct map by_place; /**< routes, once checked */
	struct map by_key;   /**< keys, once checked */
};

/** Bounds where a document names none. */
struct document_limits document_default_limits(void);

/** An empty document with the default limits. */
struct document *document_new(void);
void document_free(struct document *document);

/** Add an item, zeroed but for its names; valid until the next one is added. */
struct service *document_add_service(struct document *document,
				     const char *name);
struct route *document_add_route(struct document *document);
struct document_organisation *
document_add_organisation(struct document *document);

void service_add_zone(struct service *service, const char *name, double price);
void route_add_split(struct route *route, const char *service, int64_t weight);
/** Add a name, shortened, to the regions of a route or an organisation. */
void document_add_region(char ***regions, size_t *n_regions,
			 const char *region);
void document_add_key(struct document *document, size_t organisation,
		      const char *text);

/**
 * Whether the document can be obeyed: each route's service is known, no two
 * routes have the same place, weights add up to more than 0, time-outs are
 * above 0, no two organisations share a key. Also makes it ready for look-ups.
 *
 * Returns RESULT_OK or RESULT_SETTING_VALUE, reported to `handler`.
 */
enum result document_check(struct document *document,
			   const struct error_handler *handler);

/**
 * The route of a request: of those with its host the one with the longest
 * prefix that begins its path.
 *
 * @param host	as in the Host header; a port is left out of account
 * @param path	may have a query behind it
 * @return NULL if there is none
 */
const struct route *document_route(const struct document *document,
				   const char *host, const char *path);

/** The organisation that holds a key, or NULL. */
const struct document_organisation *
document_organisation_by_key(const struct document *document, const char *key);

/** The service with that name, or NULL. */
const struct service *document_service(const struct document *document,
				       const char *name);

/**
 * The service that a request of this route goes to.
 *
 * @param point	uniform in 0..1; the same point chooses the same service
 */
const char *route_choose(const struct route *route, double point);

#endif
