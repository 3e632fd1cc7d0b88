#ifndef TESTS_SOAK_SERVER_H
#define TESTS_SOAK_SERVER_H

#include "soak.h"

/** A backend server, behind a proxy of its own. */
struct server;

/** What it does to a part of its answers. */
enum server_fault {
	SERVER_WELL,
	SERVER_ERROR, /**< answers 500 */
	SERVER_CUT,   /**< breaks off in the middle */
	SERVER_LOST,  /**< runs it and closes without an answer */
	SERVER_MUTE,  /**< runs it and says nothing */
	SERVER_FULL,  /**< rejects it as not run */
	SERVER_FAULTS
};

struct server *server_new(struct soak *soak, int index);
void server_free(struct server *server);

/** Gone without a word; back as a new start after `down_ms`. */
void server_crash(struct server *server, int64_t down_ms);

/** Says that it leaves, goes on, ends; a new start follows. */
void server_leave(struct server *server);

/** `share` of its answers go wrong, until told SERVER_WELL. */
void server_misbehave(struct server *server, enum server_fault fault,
		      double share);

/** Names no limit from now on. */
void server_rest(struct server *server);

struct proxy *server_proxy(struct server *server);

/** Whether a server takes streams, without a limit or a time of rest. */
bool servers_any_free(const struct soak *soak);

/** Servers of streams of that version that serve and have since then. */
int servers_steady(const struct soak *soak, const char *version,
		   int64_t since_us);

#endif
