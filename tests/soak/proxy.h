#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include "soak.h"

/** A TCP proxy that can fail as the network between two VMs does. */
struct proxy;

enum proxy_way { PROXY_IN, PROXY_OUT, PROXY_WAYS };

struct proxy *proxy_new(struct soak *soak, const char *listen,
			const char *target);
void proxy_free(struct proxy *proxy);

/**
 * Nothing gets through that way until it is let again: bytes wait, ends of
 * connections aren't seen. PROXY_IN is from whoever connected.
 */
void proxy_hold(struct proxy *proxy, enum proxy_way way, bool hold);

/** Pass on what has waited and may go now. */
void proxy_resume(struct proxy *proxy);

/** Bytes take so much longer, both ways. */
void proxy_delay(struct proxy *proxy, int64_t ms);

/** Connections that are open now carry nothing any more; new ones do. */
void proxy_forget(struct proxy *proxy);

/** Connections that are open now end with a reset. */
void proxy_reset(struct proxy *proxy);

/** New connections are closed at once. */
void proxy_refuse(struct proxy *proxy, bool refuse);

#endif
