#ifndef DAEMON_CONTROL_DAEMON_STATE_H
#define DAEMON_CONTROL_DAEMON_STATE_H

#include "control/control.h"
#include "daemon/http/http_client.h"
#include "daemon/role/reader.h"
#include "daemon/role/role.h"

/** What the files of a control VM's process share. All on its one loop. */

struct control_daemon {
	struct role role;
	struct control *control;
	struct wal *wal;
	struct http_server *server;
	struct http_client *platform;
	struct reader *reader;
	struct list calls;
	struct list platform_calls;
	uint64_t next_call;
	ev_timer tick;
	ev_timer reopen;
	struct effects effects;
	bool carrying_out;
	bool disk_failed;
};

/**
 * Carry out all effects that wait, and those that they bring about.
 *
 * @param daemon The process.
 */
void control_daemon_carry_out(struct control_daemon *daemon);

/**
 * Open the listener for operators and backend servers.
 *
 * @param daemon The process, its role open.
 * @return RESULT_OK, or RESULT_SETTING_VALUE where the address can't be bound;
 *         the role's handler is told.
 */
enum result control_calls_open(struct control_daemon *daemon);

/** Close the listener. @param daemon The process; calls need not be open. */
void control_calls_close(struct control_daemon *daemon);

/**
 * Answer an operator's call.
 *
 * @param daemon The process.
 * @param told The reducer's answer; a caller who has left gets none.
 */
void control_calls_answer(struct control_daemon *daemon,
			  const struct effect_admin_answer *told);

/** Get ready for calls to the platform. @param daemon The process. */
void control_orders_open(struct control_daemon *daemon);

/** Drop calls under way. @param daemon The process; need not be ready. */
void control_orders_close(struct control_daemon *daemon);

/**
 * Send a call to the platform. Its end is told to the reducer, as unknown if
 * the lease ends first.
 *
 * @param daemon The process.
 * @param order What to order or report, and until when it may be under way.
 */
void control_orders_send(struct control_daemon *daemon,
			 const struct effect_platform_call *order);

#endif
