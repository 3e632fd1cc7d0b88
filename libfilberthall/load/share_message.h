#ifndef FILBERTHALL_LOAD_SHARE_MESSAGE_H
#define FILBERTHALL_LOAD_SHARE_MESSAGE_H

#include "base/bytes.h"
#include "base/result.h"
#include "load/share.h"

/**
 * Messages between routers on LINK_SHARE: msgpack, each an array that begins
 * with its kind. Unknown kinds are ignored, so that daemons of two versions
 * can work side by side during an upgrade.
 *
 *	[1, [[pool, slots, pressured_tier, demand...]...], [[organisation,
 *	     concurrent, requests, limit]...]]		demand
 *	[2, [[pool, slots, offset, total, pressured_tier]...], [[organisation,
 *	     rate_fraction, concurrent]...]]		grants
 *	[3, fingerprint, server, ran_us, age_us]	a crash
 */
enum share_kind { SHARE_DEMAND = 1, SHARE_GRANT = 2, SHARE_CRASH = 3 };

struct share_crash {
	uint64_t fingerprint;
	uint64_t server; /**< hash of its address and start */
	int64_t ran_us;
	int64_t age_us; /**< since the crash */
};

/** A message under construction: two lists of rows. */
struct share_writer {
	struct bytes first;
	struct bytes second;
	int n_first;
	int n_second;
};

void share_write_demand(struct share_writer *writer,
			const struct share_demand *demand);
void share_write_usage(struct share_writer *writer,
		       const struct share_usage *use);
void share_write_grant(struct share_writer *writer,
		       const struct share_grant *grant);
void share_write_limit_grant(struct share_writer *writer,
			     const struct share_limit_grant *part);

/** Encode the message and reset the writer. */
struct bytes share_write_end(struct share_writer *writer, enum share_kind kind);

struct bytes share_write_crash(const struct share_crash *crash);

/** Callbacks for the parts of a message; each may be NULL. */
struct share_reader {
	void (*message)(void *data, enum share_kind kind);
	void (*demand)(void *data, const struct share_demand *demand);
	void (*usage)(void *data, const struct share_usage *use);
	void (*grant)(void *data, const struct share_grant *grant);
	void (*limit_grant)(void *data, const struct share_limit_grant *part);
	void (*crash)(void *data, const struct share_crash *crash);
	void *data;
};

/** Returns RESULT_OK or RESULT_MESSAGE_MALFORMED. */
enum result share_read(const struct bytes *body,
		       const struct share_reader *reader);

#endif
