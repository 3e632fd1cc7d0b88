#ifndef TESTS_ENTRY_SLOW_LINK_H
#define TESTS_ENTRY_SLOW_LINK_H

#include "entry/entry.h"

#define SLOW_LINK_PEERS 5

/**
 * An entry VM behind a slow link that carries packets of the control VMs in
 * turn.
 */
struct slow_link;

struct slow_link *slow_link_new(int64_t bytes_per_s);
void slow_link_free(struct slow_link *link);

/** Advances the clock. */
void slow_link_run(struct slow_link *link, int64_t us);

/**
 * All control VMs have applied that version of `bytes` bytes, and announce it.
 */
void slow_link_publish(struct slow_link *link, int64_t version, size_t bytes);

/** Drops what that control VM sends; its link stays up. */
void slow_link_mute(struct slow_link *link, int peer, bool mute);

/** Drops the next document that is sent. */
void slow_link_lose_document(struct slow_link *link);

/** Closes the link of the control VM that was last asked for a document. */
void slow_link_break_asked(struct slow_link *link);

/** The control VM that was last asked for a document, -1 for none. */
int slow_link_asked(const struct slow_link *link);

/** When that version came into force, in microseconds; -1 if it didn't. */
int64_t slow_link_in_force_us(const struct slow_link *link, int64_t version);
int64_t slow_link_now_us(const struct slow_link *link);

struct entry_documents slow_link_documents(const struct slow_link *link);

#endif
