#ifndef FILBERTHALL_DOCUMENT_CHANGE_H
#define FILBERTHALL_DOCUMENT_CHANGE_H

#include "document/document.h"

/** What a new document changes, for the log. Routes are told by their place. */
struct document_change {
	int routes_added;
	int routes_removed;
	int routes_timed; /**< another time-out or target */
	int routes_moved; /**< other services or weights */
	int routes_other; /**< another kind, tier, number of attempts, ... */
	int keys_added;
	int keys_removed;
	bool limits; /**< of what callers may send */
};

/**
 * @param before	NULL: there was none
 * @param now		both have passed document_check()
 */
struct document_change document_compare(const struct document *before,
					const struct document *now);

#endif
