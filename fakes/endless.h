#ifndef FILBERTHALL_FAKES_ENDLESS_H
#define FILBERTHALL_FAKES_ENDLESS_H

#include "daemon/http/stream.h"

/**
 * A stand-in server whose answers never end: it writes the same bytes again and
 * again until its caller closes the connection, as fast as they are read or a
 * few at a time.
 */
struct endless;

struct endless_options {
	const char *listen; /**< IP:port */
	const char *way;    /**< what it writes, by the names in endless.c */
	double gap_s;	    /**< between two pieces; 0: as fast as possible */
	const char *record; /**< a line for each connection: bytes, ms */
};

/** NULL if it can't listen or there is no such way. */
struct endless *endless_start(struct stream_loop *loop,
			      const struct endless_options *options);
int endless_port(const struct endless *endless);
void endless_stop(struct endless *endless);

#endif
