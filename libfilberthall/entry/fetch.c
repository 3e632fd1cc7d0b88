#include "entry/fetch.h"

/*
 * Another control VM is asked after the timeout, since a single one may be
 * slow. The timeout doubles with each copy that is requested: if it is shorter
 * than the transfer, the additional copies make the transfer longer still.
 */
#define FETCH_TIMEOUT_US INT64_C(1000000)
#define FETCH_TIMEOUT_MAX_US INT64_C(16000000)

void fetch_init(struct fetch *fetch)
{
	fetch->peer = 0;
	fetch->requested_us = 0;
	fetch->timeout_us = FETCH_TIMEOUT_US;
}

/*
 * Messages on a link arrive in order: the answer to a poll that was sent after
 * the request arrives after the answer to the request.
 */
static bool answer_lost(const struct fetch *fetch,
			const struct fetch_offer *offer)
{
	return offer->peer == fetch->peer &&
	       offer->echo_us > fetch->requested_us;
}

static bool fetch_timed_out(const struct fetch *fetch, int64_t now_us)
{
	return now_us - fetch->requested_us >= fetch->timeout_us;
}

static void record_request(struct fetch *fetch, uint64_t peer, int64_t now_us)
{
	fetch->peer = peer;
	fetch->requested_us = now_us;
}

bool fetch_should_request(struct fetch *fetch, const struct fetch_offer *offer,
			  int64_t held, int64_t now_us)
{
	if (offer->version <= held)
		return false;
	if (!fetch->peer || answer_lost(fetch, offer)) {
		record_request(fetch, offer->peer, now_us);
		return true;
	}
	if (offer->peer == fetch->peer || !fetch_timed_out(fetch, now_us))
		return false;
	fetch->timeout_us *= 2;
	if (fetch->timeout_us > FETCH_TIMEOUT_MAX_US)
		fetch->timeout_us = FETCH_TIMEOUT_MAX_US;
	record_request(fetch, offer->peer, now_us);
	return true;
}

void fetch_completed(struct fetch *fetch)
{
	fetch_init(fetch);
}

bool fetch_peer_lost(struct fetch *fetch, uint64_t peer)
{
	if (fetch->peer != peer)
		return false;
	fetch->peer = 0;
	return true;
}
