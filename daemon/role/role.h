#ifndef FILBERTHALL_DAEMON_ROLE_H
#define FILBERTHALL_DAEMON_ROLE_H

#include <signal.h>

#include "core/effect.h"
#include "daemon/boot.h"
#include "daemon/role/dialect.h"
#include "daemon/http/http_server.h"
#include "daemon/link/link.h"
#include "daemon/log.h"
#include "daemon/role/mailbox.h"
#include "daemon/http/stream.h"
#include "daemon/role/watch.h"

/**
 * What entry and control daemons share: the loop, signals, links, log, the
 * listener for metrics, and settings that change while they run.
 */
struct role {
	const struct boot *boot;
	const char *settings; /**< path of the boot settings */
	const struct dialect *dialect;
	const struct error_handler *handler;
	struct ev_loop *ev;
	struct memory memory;
	struct stream_loop streams;
	struct mailbox *mailbox;
	struct link_hub *links;
	struct log *log;
	struct http_server *metrics;
	struct watch watch;
	struct edge_counters counters;
	ev_signal on_term;
	ev_signal on_int;
	ev_signal on_hup;
	ev_timer settings_timer;
	int64_t settings_mtime_us;
	int link_port;
	void (*take)(void *data, struct event *event);
	void (*stop)(void *data);
	/** The settings file was read again; NULL: nothing of it matters. */
	void (*reloaded)(void *data, const struct boot *boot);
	void (*write_metrics)(void *data, struct bytes *out);
	void *data;
};

/** Begin: the log, the loop and its signals. The hooks must be set. */
enum result role_open(struct role *role);

/** Open the links, under an identity that is new at each start. */
enum result role_open_links(struct role *role, uint64_t self,
			    uint64_t incarnation, bool observer);

void role_close_links(struct role *role);

/**
 * Tell the bound addresses in the file that the settings name, if any: lines
 * "NAME: IP:PORT" for the listeners given and for the links.
 */
struct role_listener {
	const char *name;
	const char *address; /**< as asked for */
	int port;	     /**< as bound */
};
enum result role_publish(struct role *role,
			 const struct role_listener *listeners, size_t n);

/** Carry out what concerns links and the log; others are left alone. */
void role_carry_out(struct role *role, struct effect *effect);

/** Signals are for the loop's thread: block them while others are started. */
void role_block_signals(sigset_t *before);

/** The dialect's document, for the reducers; `data` is the role. */
struct document *role_read_document(void *data, const char *text, size_t len);

/** Run the loop until role_exit(). */
void role_run(struct role *role);
void role_exit(struct role *role);

void role_close(struct role *role);

/** Run a daemon of that role until a signal ends it. */
enum result entry_daemon_run(const struct boot *boot, const char *settings,
			     const struct dialect *dialect,
			     const struct error_handler *handler);
enum result control_daemon_run(const struct boot *boot, const char *settings,
			       const struct dialect *dialect,
			       const struct error_handler *handler);

#endif
