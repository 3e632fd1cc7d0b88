#ifndef TESTS_ENTRY_SLOW_LINK_H
#define TESTS_ENTRY_SLOW_LINK_H

#include "entry/entry.h"

#define SLOW_LINK_PEERS 5

/** An entry VM behind a slow link that carries packets of VMs by turns. */
struct slow_link;

struct slow_link *slow_link_new(int64_t bytes_per_s);
void slow_link_free(struct slow_link *link);

/** Let time pass. */
void slow_link_run(struct slow_link *link, int64_t us);

/** All control VMs have applied that version of `bytes`, and tell of it. */
void slow_link_publish(struct slow_link *link, int64_t version, size_t bytes);

/** What that control VM sends is lost; the link stays up. */
void slow_link_mute(struct slow_link *link, int peer, bool mute);

/** The next document that is sent is lost on its way. */
void slow_link_lose_document(struct slow_link *link);

/** The link of the control VM that was last asked for a document breaks. */
void slow_link_break_asked(struct slow_link *link);

/** Control VM that was last asked for a document, -1 for none. */
int slow_link_asked(const struct slow_link *link);

/** When that version came into force, microseconds; -1 if it didn't. */
int64_t slow_link_in_force_us(const struct slow_link *link, int64_t version);
int64_t slow_link_now_us(const struct slow_link *link);

struct entry_documents slow_link_documents(const struct slow_link *link);

#endif
