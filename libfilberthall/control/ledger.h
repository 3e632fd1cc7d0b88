#ifndef FILBERTHALL_CONTROL_LEDGER_H
#define FILBERTHALL_CONTROL_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/list.h"
#include "feed/feed.h"
#include "fleet/evacuation.h"

/**
 * What the control VMs agree on: the document in force, as the bytes that it
 * came in, which zones are evacuated, which software versions servers have or
 * lately had, and the figure of each usage window. The log's entries are
 * applied in order on each of them; the same entries give the same state.
 *
 * Failures handled: operators race, and send again what was accepted long
 * ago; only a higher version takes effect. Two leaders in turn add up a
 * window at different moments; the first figure in the log is the window's
 * figure for ever, so it can't be reported in two ways. All VMs lose power
 * while a window waits for counts: what was counted by then is in the log. All
 * VMs are killed after a release: streams of the version before are known to be
 * no streams of the present one.
 */

/** Figures are kept for so many windows, far longer than reports take. */
#define LEDGER_WINDOWS 128

struct ledger_window {
	struct list node; /**< the oldest first */
	int64_t window;
	struct feed_begun total;
};

/** Of more versions the one recorded longest ago goes. */
#define LEDGER_VERSIONS_MOST 1024

/** A software version of a service's servers, by hashes. */
struct ledger_version {
	struct list node;
	uint64_t service;
	uint64_t version;
};

struct ledger {
	int64_t version; /**< of the document, 0 for none */
	struct bytes document;
	struct evacuations evacuations;
	struct list versions; /**< struct ledger_version, the oldest first */
	int n_versions;
	struct list windows;
	int n_windows;
	struct list waiting; /**< counted so far, without a figure yet */
	int64_t last_window; /**< highest one that has a figure, 0 for none */
	int64_t applied_window; /**< the one that got its figure last */
};

enum ledger_change {
	LEDGER_NOTHING,
	LEDGER_DOCUMENT,
	LEDGER_WINDOW,
	LEDGER_COUNTED,
	LEDGER_EVACUATION,
	LEDGER_VERSION,
	LEDGER_REFUSED /**< an order that can't be applied any more */
};

void ledger_init(struct ledger *ledger);
void ledger_clear(struct ledger *ledger);

/** Write entries for the log. */
void ledger_write_document(struct bytes *out, int64_t version,
			   const struct bytes *text);
void ledger_write_window(struct bytes *out, const struct feed_begun *total);
void ledger_write_counted(struct bytes *out, const struct feed_begun *total);
void ledger_write_evacuation(struct bytes *out,
			     const struct evacuation_order *order);

/** `serves`: servers of the service have that version; else none had lately. */
void ledger_write_version(struct bytes *out, uint64_t service, uint64_t version,
			  bool serves);

bool ledger_has_version(const struct ledger *ledger, uint64_t service,
			uint64_t version);

/** Apply one entry; what it changed. A malformed entry changes nothing. */
enum ledger_change ledger_apply(struct ledger *ledger, const char *data,
				size_t len);

/** The figure of a window, or NULL. */
const struct feed_begun *ledger_window(const struct ledger *ledger,
				       int64_t window);

/** What was counted of a window that has no figure yet, or NULL. */
const struct feed_begun *ledger_counted(const struct ledger *ledger,
					int64_t window);

/** The first such window behind `after`, 0 for none. */
int64_t ledger_next_counted(const struct ledger *ledger, int64_t after);

/** The whole state as bytes, and back; false if malformed. */
void ledger_save(const struct ledger *ledger, struct bytes *out);
bool ledger_load(struct ledger *ledger, const char *data, size_t len);

#endif
