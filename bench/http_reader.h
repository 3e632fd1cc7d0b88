#ifndef BENCH_HTTP_READER_H
#define BENCH_HTTP_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"

/** Reads one HTTP/1.1 answer from pieces as they come. */

/** Room for the values of the headers that are kept. */
#define HTTP_READER_VALUE_SIZE 128

enum http_reader_state {
	HTTP_READER_STATUS,
	HTTP_READER_HEADERS,
	HTTP_READER_LENGTH,	/**< body of a known length */
	HTTP_READER_CHUNK_SIZE, /**< the line before a chunk */
	HTTP_READER_CHUNK,
	HTTP_READER_CHUNK_END, /**< the line end after a chunk */
	HTTP_READER_TRAILER,
	HTTP_READER_TO_CLOSE, /**< body up to the connection's end */
	HTTP_READER_DONE,
	HTTP_READER_BAD
};

struct http_reader {
	enum http_reader_state state;
	struct bytes line; /**< an unfinished line */
	uint64_t left;	   /**< of the body or the chunk */
	int status;
	bool close; /**< the connection can't be used again */
	bool chunked;
	char request_id[HTTP_READER_VALUE_SIZE];
	char run[HTTP_READER_VALUE_SIZE];
	/** Gets each piece of the body. */
	void (*body)(void *data, const char *piece, size_t len);
	void *data;
};

/** Start on a new answer. */
void http_reader_reset(struct http_reader *reader);

/** Take `len` bytes; returns how many belonged to this answer. */
size_t http_reader_take(struct http_reader *reader, const char *data,
			size_t len);

/** The connection ended; true if the answer is whole all the same. */
bool http_reader_end(struct http_reader *reader);

void http_reader_clear(struct http_reader *reader);

#endif
