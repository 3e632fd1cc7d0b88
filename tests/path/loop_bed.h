#ifndef TESTS_PATH_LOOP_BED_H
#define TESTS_PATH_LOOP_BED_H

#include "daemon/http/http_client.h"
#include "daemon/http/http_server.h"

/**
 * The listener and the client of the entry and control roles in one loop,
 * against peers on loopback sockets that the test writes byte by byte.
 */
struct bed {
	struct ev_loop *ev;
	struct stream_loop loop;
	struct http_server *server;
	struct http_client *client;
	struct http_exchange
		*exchange; /**< the one that waits for its answer */
	int requests;
	int left;
	/* of the call made last */
	bool over;
	enum result code;
	bool sent;
	int status;
	struct bytes body;
	struct http_call *pauses; /**< a call to be paused by its head */
};

void bed_start(struct bed *bed);
void bed_end(struct bed *bed);

/** Let the loop do what it has to do; bounded, and ends early once `done`. */
void bed_run(struct bed *bed, const bool *done);

/** A connected socket to that port of loopback. */
int bed_dial(int port);
void bed_say(int fd, const char *text);

/** What has come so far; "" for nothing, "EOF" once the peer has closed. */
const char *bed_hear(int fd);

/** A fresh server, and a caller that has said `text`; its socket. */
int bed_ask(struct bed *bed, const char *text);

#endif
