#ifndef FILBERTHALL_FLEET_REACH_H
#define FILBERTHALL_FLEET_REACH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Whether this VM reaches the backend servers of a service.
 *
 * Failure handled: a VM is cut off from all of them, which other VMs reach. It
 * takes each failed connection for a fault of that server and fails request
 * after request.
 *
 * A connection that stood a moment ago leaves no doubt: where half of the
 * servers are down, each few connections would raise one again.
 *
 * Only new connections count: kept ones may live on while new ones are refused.
 * A few servers that crash together look the same at first, so a VM that is in
 * doubt tries several others before it takes the fault for its own.
 */

/** Servers in a row that can't be connected to until there is a doubt. */
#define REACH_DOUBTS 2

/** And until the fault is this VM's, or all servers if there are fewer. */
#define REACH_ENOUGH 8

enum reach_state { REACH_GOOD, REACH_DOUBTED, REACH_LOST };

struct reach {
	enum reach_state state;
	uint64_t failed[REACH_ENOUGH]; /**< since a connection last stood */
	int n_failed;
	int64_t failed_us;    /**< last failure */
	int64_t connected_us; /**< last connection that stood */
	int64_t since_us;     /**< of the state */
};

/** The state's name in logs. */
const char *reach_name(enum reach_state state);

/** A connection stands; true if that changes the state. */
bool reach_connected(struct reach *reach, int64_t now_us);

/**
 * A connection to a server failed; true if that changes the state.
 *
 * @param server	hash of its address
 * @param servers	number of those that this VM might connect to
 */
bool reach_failed(struct reach *reach, uint64_t server, int servers,
		  int64_t now_us);

/** Whether the connection to that server is among the failed ones. */
bool reach_has_failed(const struct reach *reach, uint64_t server);

#endif
