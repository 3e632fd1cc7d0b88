#ifndef TESTS_SOAK_OPERATOR_H
#define TESTS_SOAK_OPERATOR_H

#include "soak.h"

/**
 * An operator who changes the document again and again, sends what got no
 * clear answer once more, and reads it back anywhere. Each version has a key
 * of its own and withdraws that of the version before.
 */
struct operator;

struct operator* operator_new(struct soak *soak);
void operator_free(struct operator* operator);

/** The version of the newest key, or of one that must be dead; 0 for none. */
int64_t operator_any_key(struct operator* operator);

/** The key of a version, or the one for ever; `text` holds 32 bytes. */
void operator_key_text(int64_t version, char *text);

/** No more changes: the last one is sent until it is acknowledged. */
void operator_rest(struct operator* operator);

/** Whether the last change is acknowledged. */
bool operator_settled(const struct operator* operator);

/** Changes acknowledged, and reads answered. */
void operator_tally(const struct operator* operator, int * changes, int *reads);

/** The last version that a read gave. */
int64_t operator_read(const struct operator* operator);

#endif
