#ifndef FILBERTHALL_DAEMON_BOOT_H
#define FILBERTHALL_DAEMON_BOOT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/result.h"
#include "core/effect.h"
#include "fleet/region.h"

#define BOOT_MAX_PEERS 16

/** What a daemon does at a site; docs/PLATFORM.md. */
enum boot_role {
	BOOT_ROLE_ALL,	  /**< everything, with the product's own interface */
	BOOT_ROLE_ENTRY,  /**< takes callers' requests */
	BOOT_ROLE_CONTROL /**< agrees on the configuration */
};

/**
 * A daemon's own settings, read once at its start: where it listens, which
 * zone it stands in, where its data folder is. Everything that operators
 * change while it runs is in the agreed settings tree instead.
 */
struct boot {
	enum boot_role role;
	char *vm;
	char *zone;
	char *site;
	char *data_folder; /**< NULL: no disk, so never a voter */
	bool bootstrap;
	char *seed_settings;
	char *seed_key_file;
	char *key_secret_file;
	char *link_secret_file;
	char *listen_callers; /**< IP:port, port 0 for the system's choice */
	char *listen_backends;
	char *listen_operators;
	char *listen_links;
	char *listen_ready;    /**< entry: the balancer's questions */
	char *listen_metrics;  /**< NULL: none */
	char *reach_operators; /**< told to others, NULL: as listened on */
	char *reach_links;
	char *reach_callers;
	char *publish;
	char *platform; /**< IP:port, or NULL */
	char *tls_certificate;
	char *tls_key;
	char *log_file; /**< NULL: standard error */
	enum log_level log_level;
	char *trace_file;
	char *peers[BOOT_MAX_PEERS];
	int n_peers;
	char *seeds[BOOT_MAX_PEERS]; /**< operators' addresses of control VMs;
					  their links have our links' port */
	int n_seeds;
	struct regions regions; /**< of the zones of backend servers */
	int64_t voters;		/**< wanted in the group, odd */
	int64_t tolerate;	/**< disks that may be lost at once */
	int64_t lease_ms;	/**< of the one in charge */
	int64_t election_ms;	/**< silence of a leader until an election */
	int64_t withdrawn_ms;	/**< after which a withdrawn key must be dead */
	int64_t fresh_ms;	/**< older knowledge of keys isn't acted upon */
	double retry_share;	/**< repeats for each request, of all VMs */
	int64_t retry_headroom; /**< besides, of all VMs in any window */
	int64_t retry_window_s;
	int64_t window_s; /**< usage window */
	int64_t due_s;	  /**< its report is due so long after its end */
	int64_t beat_ms;  /**< backend servers announce themselves so often */
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t connections;
	int64_t idle_s;
	int64_t stop_grace_s; /**< for streams to end at a planned stop */
	int64_t memory_mb;    /**< of this process at most, 0: the machine's */
};

/**
 * Read boot settings from YAML text.
 *
 * Every key is checked: an unknown key, a missing one or a bad value is
 * reported to `handler` as "NAME:LINE: KEY: what is allowed", and nothing is
 * taken. On RESULT_OK the caller calls boot_clear().
 */
enum result boot_parse(struct boot *boot, const char *name, const char *text,
		       size_t len, const struct error_handler *handler);

/** Read boot settings from a file; see boot_parse(). */
enum result boot_load(struct boot *boot, const char *path,
		      const struct error_handler *handler);

void boot_clear(struct boot *boot);

/** Split "IP:port"; false if it isn't one. `ip` holds at least 64 bytes. */
bool boot_split_address(const char *address, char *ip, int *port);

#endif
