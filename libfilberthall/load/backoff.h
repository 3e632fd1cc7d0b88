#ifndef FILBERTHALL_LOAD_BACKOFF_H
#define FILBERTHALL_LOAD_BACKOFF_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * Backend servers that have turned a request away and asked this VM to send
 * them nothing for a time.
 *
 * Load pattern: such a server looks idle, so each new request would try it
 * again. When its time is over, so is that of other servers, and all that has
 * waited would be sent at one moment and turned away again.
 *
 * So a server gets nothing until the end of the longest time that it asked this
 * VM for; a shorter one doesn't end a longer one. Then one request is sent to
 * it, and others only once that could have been turned away. A new start of the
 * server has asked for nothing.
 */

/** A server that turns a request away has said so within this time. */
#define BACKOFF_TRIAL_US INT64_C(100000)

/** Whether the server may get a request. */
bool backoff_allows(const struct backend *backend, int64_t now_us);

/** Whether its time is over and no request has been sent to it since. */
bool backoff_is_untried(const struct backend *backend);

/** Whether the time that the server asked for isn't over. */
bool backoff_holds(const struct backend *backend, int64_t now_us);

/** A request is sent to the server. */
void backoff_record(struct backend *backend, int64_t now_us);

#endif
