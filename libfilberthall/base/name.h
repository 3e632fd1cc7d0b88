#ifndef FILBERTHALL_BASE_NAME_H
#define FILBERTHALL_BASE_NAME_H

/**
 * Names that others choose have no limit, and what is kept for each server,
 * request and message has room for a short one. A longer name is known by a
 * short one of its own: the start of it and a hash of all of it.
 */
#define NAME_SIZE 64

/**
 * The short name: `name` itself if it has room.
 *
 * Names that differ have different ones. Text in UTF-8 stays so, and a short
 * name's is the name itself.
 */
void name_shorten(char out[NAME_SIZE], const char *name);

/** The same, owned by the caller. */
char *name_short_copy(const char *name);

#endif
