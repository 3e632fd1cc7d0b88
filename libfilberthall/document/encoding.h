#ifndef FILBERTHALL_DOCUMENT_ENCODING_H
#define FILBERTHALL_DOCUMENT_ENCODING_H

#include "document/document.h"

/**
 * A checked document as msgpack, in which control VMs hand it on. Reading it
 * takes a fraction of the time of reading the text that operators send, which
 * would keep an entry VM from its callers at each change.
 */
void document_encode(struct bytes *out, const struct document *document);

/** The document, checked and ready for look-ups; NULL if it is malformed. */
struct document *document_decode(const char *data, size_t len);

#endif
