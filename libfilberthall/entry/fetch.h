#ifndef FILBERTHALL_ENTRY_FETCH_H
#define FILBERTHALL_ENTRY_FETCH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Decides when an entry VM requests the document, and from which control VM.
 * One answer is in transit at a time: a second copy of a large document would
 * delay the first on the same link. A newer version that is announced meanwhile
 * is requested once the one in transit has arrived, so that a series of changes
 * can't keep all of them from arriving.
 */
struct fetch {
	uint64_t peer;	      /**< asked last, 0: no request is pending */
	int64_t requested_us; /**< time of the last request */
	int64_t timeout_us; /**< another control VM is asked after this time */
};

/** The version that a control VM announces. */
struct fetch_offer {
	uint64_t peer;
	int64_t version;
	int64_t echo_us; /**< when the poll that it answers was sent; 0: none */
};

void fetch_init(struct fetch *fetch);

/**
 * Whether to request the document from the control VM that made the offer; the
 * request counts as sent then. `held` is the version in force.
 */
bool fetch_should_request(struct fetch *fetch, const struct fetch_offer *offer,
			  int64_t held, int64_t now_us);

/** A document newer than the one held has arrived. */
void fetch_completed(struct fetch *fetch);

/**
 * The link to `peer` is down; returns whether an answer was expected from it.
 */
bool fetch_peer_lost(struct fetch *fetch, uint64_t peer);

#endif
