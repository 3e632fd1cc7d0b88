#ifndef FAKES_PLATFORM_H
#define FAKES_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "fakes/addresses.h"
#include "fakes/fault.h"
#include "fakes/loop.h"
#include "fakes/options.h"
#include "fakes/order_book.h"
#include "fakes/post.h"
#include "fakes/server.h"
#include "fakes/children.h"

/**
 * A stand-in for the platform: takes orders for backend servers and usage
 * reports, records all of them with time and fence (GET /log), and reclaims
 * a zone's cheap backend servers on request:
 * POST /reclaim {"zone", "in_ms"} tells the daemons, then ends them.
 */

struct platform_options {
	struct options common; /**< zone and announcing aren't used */
	char *zones[OPTIONS_MOST + 1];
	int64_t n_zones;
	char *spawn; /**< folder of stand-ins to start, or NULL */
	double steady_price;
	double cheap_price; /**< each an hour */
};

/** What POST /offer made (un)available. */
struct platform_offer {
	struct list node;
	char *zone;
	bool cheap;
	bool available;
};

struct platform {
	const struct platform_options *options;
	struct loop loop;
	struct server server;
	struct faults faults;
	struct post_pool posts;
	struct order_book orders;
	struct order_book reports;
	struct list offers;
	struct list reclaims; /**< struct platform_reclaim */
	struct children children;
	struct list late; /**< struct platform_late */
	struct list log;  /**< struct platform_entry */
	struct addresses daemons;
	int64_t start_us;
	int64_t next_port; /**< of addresses without a process */
};

/** Listen; false (and a message) if it can't. */
bool platform_start(struct platform *platform,
		    const struct platform_options *options);

/** Run until a signal; ends the children it started. */
void platform_run(struct platform *platform);

void platform_clear(struct platform *platform);

/** Record a call and what was answered; takes the JSON over. */
void platform_log(struct platform *platform, const char *call,
		  json_t *arguments, int status);

/** Answer GET /log, /orders, /offers; POST /orders, /offer. */
void platform_answer_log(struct platform *platform, struct exchange *exchange);
void platform_answer_orders(struct platform *platform,
			    struct exchange *exchange);
void platform_answer_offers(struct platform *platform,
			    struct exchange *exchange);
void platform_order(struct platform *platform, struct exchange *exchange);
void platform_set_offer(struct platform *platform, struct exchange *exchange);

/** Answer POST /reports. */
void platform_report(struct platform *platform, struct exchange *exchange);

/** Answer POST /reclaim. */
void platform_reclaim(struct platform *platform, struct exchange *exchange);

/** Forget offers and planned reclaims. */
void platform_zones_clear(struct platform *platform);

#endif
