#ifndef FILBERTHALL_DAEMON_DESCRIPTORS_H
#define FILBERTHALL_DAEMON_DESCRIPTORS_H

#include <stdint.h>

/**
 * Shares of the process's descriptors.
 *
 * When callers could take them all, none would be left to reach a backend
 * server: each request would be taken in and refused, and nothing served. So
 * callers get a share that leaves two more for each of their requests; those
 * beyond it wait in the listen queue.
 */

/** Descriptors that the process may have; INT64_MAX for no limit. */
int64_t descriptors_limit(void);

/** Connections of callers at most, out of the `wanted` ones. */
int descriptors_for_callers(int wanted);

/** Idle connections to backend servers at most, out of the `wanted` ones. */
int descriptors_for_idle(int wanted);

#endif
