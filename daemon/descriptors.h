#ifndef FILBERTHALL_DAEMON_DESCRIPTORS_H
#define FILBERTHALL_DAEMON_DESCRIPTORS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Shares of the process's descriptors.
 *
 * When callers could take them all, none would be left to reach a backend
 * server: each request would be taken in and refused, and nothing served. So
 * each use has a share, and the shares leave some for files, the loops and
 * links that stand.
 */

/** Whether that errno of a socket call is a want of descriptors or memory. */
bool descriptors_are_short(int error);

/** Descriptors that the process may have; INT64_MAX for no limit. */
int64_t descriptors_limit(void);

/**
 * Connections of callers at most, out of the `wanted` ones, where each of
 * their requests takes two descriptors more.
 */
int descriptors_for_callers(int wanted);

/** Idle connections to backend servers at most, out of the `wanted` ones. */
int descriptors_for_idle(int wanted);

/** Connections of a listener for requests at most. */
int descriptors_for_requests(void);

/** Connections to backend servers at most, those in use among them. */
int descriptors_for_servers(void);

/** Connections at most of a listener for the balancer or a reader of metrics. */
int descriptors_for_questions(void);

/** Links of peers that haven't said who they are, out of the `wanted` ones. */
int descriptors_for_strangers(int wanted);

#endif
