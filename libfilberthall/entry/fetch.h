#ifndef FILBERTHALL_ENTRY_FETCH_H
#define FILBERTHALL_ENTRY_FETCH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * When an entry VM asks for the document, and whom. One answer is under way at
 * a time: a second copy of a large document would delay the first on the same
 * link. A newer version that is told meanwhile is asked for once the one on its
 * way is here, so that a series of changes can't keep all of them from arriving.
 */
struct fetch {
	uint64_t peer;	  /**< that was asked, 0 while nothing is under way */
	int64_t asked_us; /**< when it was last asked */
	int64_t patience_us; /**< when another one is asked besides */
};

/** What a control VM says of the version that it holds. */
struct fetch_offer {
	uint64_t peer;
	int64_t version;
	int64_t echo_us; /**< when the poll that it answers was sent; 0: none */
};

void fetch_init(struct fetch *fetch);

/**
 * Whether to ask the one that made the offer now; it counts as asked then.
 * `held` is the version in force.
 */
bool fetch_should_request(struct fetch *fetch, const struct fetch_offer *offer,
			  int64_t held, int64_t now_us);

/** A document newer than the one that was held is here. */
void fetch_done(struct fetch *fetch);

/** The link to `peer` is gone; whether an answer was awaited from it. */
bool fetch_lose_peer(struct fetch *fetch, uint64_t peer);

#endif
