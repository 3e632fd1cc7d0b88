#ifndef FILBERTHALL_DAEMON_CONNECT_WATCH_H
#define FILBERTHALL_DAEMON_CONNECT_WATCH_H

#include <stdbool.h>

/**
 * Tells a thread of each connect() that a library makes on its behalf.
 *
 * neon keeps its socket to itself and counts time-outs in whole seconds, and
 * it opens a second connection and sends a request again by itself when a
 * kept-alive connection turns out closed. Without the descriptor no request
 * could be ended within milliseconds, and without a veto the hidden resend
 * would escape the retry budget and make a "not run" untrue. Therefore this
 * file defines connect(); it asks the thread's hook and goes on to the C
 * library's own (the next definition in link order).
 */

/** Called with a socket about to be connected; false vetoes it. */
typedef bool (*connect_watch_fn)(void *data, int fd);

/** From now on the hook sees each connect() of this thread. */
void connect_watch_begin(connect_watch_fn hook, void *data);
void connect_watch_end(void);

#endif
