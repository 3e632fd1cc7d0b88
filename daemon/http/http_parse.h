#ifndef FILBERTHALL_DAEMON_HTTP_PARSE_H
#define FILBERTHALL_DAEMON_HTTP_PARSE_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/result.h"

/**
 * One HTTP/1.1 message at a time out of a connection's bytes, by http_parser,
 * behind a check of the head that is stricter than the parser's own.
 *
 * Failure answered: two readers of the same bytes that disagree on where a
 * request ends. Whatever hides in the difference runs at a backend server as
 * a request that nobody asked for, with another caller's rights. So a head
 * that could be read in two ways is refused: a length beside chunks, two
 * lengths, a coding that isn't "chunked", folded lines, blanks before a colon,
 * bare line ends, control characters, more than one Host. An answer whose status
 * is none isn't one.
 */

struct http_header {
	char *name;
	char *value;
};

struct http_head {
	char *method; /**< of a request */
	char *target; /**< of a request, as it came */
	int status;   /**< of an answer */
	struct http_header *headers;
	size_t n_headers;
	bool keep_alive; /**< another message may follow */
	bool http_1_0;	 /**< whoever sent it doesn't know chunks */
};

/** The value of the first header with that name, or NULL. */
const char *http_head_get(const struct http_head *head, const char *name);

void http_head_clear(struct http_head *head);

/** Bytes of memory that it holds, about. */
size_t http_head_size(const struct http_head *head);

struct http_parse;

/** What is read; each may end the reading by returning false. */
struct http_parse_hooks {
	bool (*head)(void *data, const struct http_head *head);
	bool (*body)(void *data, const char *piece, size_t len);
};

enum http_parse_state {
	HTTP_PARSE_HEAD, /**< the head isn't whole yet */
	HTTP_PARSE_BODY,
	HTTP_PARSE_DONE, /**< the message is whole */
	HTTP_PARSE_BAD	 /**< not HTTP, or could be read in two ways */
};

struct http_parse {
	http_parser parser;
	enum http_parser_type type;
	enum http_parse_state state;
	struct http_head head;
	const struct http_parse_hooks *hooks;
	void *data;
	size_t head_limit;
	bool no_body;	/**< an answer to HEAD */
	bool in_value;	/**< the last header text was a value */
	bool head_done; /**< trailers aren't kept */
	bool too_large; /**< the head is longer than allowed */
	bool stopped;	/**< by a hook */
};

void http_parse_init(struct http_parse *parse, enum http_parser_type type,
		     size_t head_limit, const struct http_parse_hooks *hooks,
		     void *data);
void http_parse_clear(struct http_parse *parse);

/** Make ready for the next message. */
void http_parse_next(struct http_parse *parse);

/** Read what there is, up to the end of one message. */
enum http_parse_state http_parse_feed(struct http_parse *parse,
				      struct bytes *in);

/** The peer has closed: DONE if that ends the message, else BAD. */
enum http_parse_state http_parse_eof(struct http_parse *parse);

#endif
