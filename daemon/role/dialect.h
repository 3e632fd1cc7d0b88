#ifndef FILBERTHALL_DAEMON_DIALECT_H
#define FILBERTHALL_DAEMON_DIALECT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/error.h"
#include "core/effect.h"
#include "daemon/http/http_parse.h"
#include "document/document.h"
#include "fleet/registry.h"

/**
 * How callers, backend servers, operators and the platform write what this
 * program means: a table of functions, one set for each protocol that a site
 * may speak. Everything they read comes out as the typed fields below.
 */

/** What a caller's head says. Text points into the head or is owned. */
struct dialect_request {
	const char *id;	   /**< the caller's own, or NULL */
	const char *host;  /**< or NULL */
	const char *model; /**< or NULL */
	char *key;	   /**< owned, or NULL */
	uint64_t prefix_hash;
	uint64_t *parts; /**< owned; hashes of the prompt's shared parts */
	size_t n_parts;
	int64_t prompt_tokens;
	int64_t shared_tokens; /**< of the prompt, in parts that others share */
	int64_t output_tokens;
	int64_t deadline_ms;	/**< 0 if it doesn't say */
	bool passed_on;		/**< by another entry VM */
	const char *last_event; /**< that the caller has, or NULL */
	const char *resumes;	/**< request that brought the first, or NULL */
	bool unreadable;	/**< one of these two can't be read */
};

/** What this program adds to a request for a backend server. */
struct dialect_forward {
	const char *organisation; /**< empty for none */
	const char *server;	  /**< the start that is meant, or NULL */
	const char *resume_after; /**< id of the last event passed, or NULL */
	const char *resumes;	  /**< request that began the stream, or NULL */
	int urgency;		  /**< 0 is the most urgent */
	int64_t wait_ms;	  /**< the server may take so long */
	size_t body_len;
};

/** What a backend server's head says. Text points into the head. */
struct dialect_answer {
	bool signed_off; /**< it says that the server ran the request */
	bool not_run;	 /**< it says that the server didn't, and won't */
	bool unfounded;	 /**< its status says so, and nothing else does */
	bool elsewhere;	 /**< not by the server that was meant */
	bool encoded;	 /**< the body isn't the server's own bytes */
	bool has_load;	 /**< the three below are set */
	int64_t running;
	int64_t waiting;
	int64_t slots;
	bool has_reject_limit; /**< the next one is set */
	double rejects_per_s;  /**< it fails if it rejects more, of all VMs */
	bool has_limit;	       /**< the next one is set */
	double limit_per_s; /**< requests that it takes from all VMs together */
	bool leaving;	    /**< the server is about to stop */
	int64_t retry_after_us; /**< this VM is to send it nothing so long */
};

/** A call to a control VM. */
enum dialect_call_kind {
	CALL_UNKNOWN,
	CALL_PUT_DOCUMENT,
	CALL_GET_DOCUMENT,
	CALL_REGISTER,
	CALL_UNREGISTER,
	CALL_EVACUATE,
	CALL_RETURN_ZONE
};

struct dialect_call {
	enum dialect_call_kind kind;
	char server[BACKEND_NAME_SIZE]; /**< to register or unregister */
	char zone[BACKEND_NAME_SIZE];	/**< to evacuate or return */
};

struct dialect {
	/** Header in which backend servers repeat a request's id. */
	const char *id_header;

	void (*read_request)(const struct http_head *head,
			     struct dialect_request *request);
	/** The head to send to a backend server, with its empty line. */
	void (*write_request)(const struct http_head *head,
			      const struct dialect_forward *forward,
			      struct bytes *out);
	/** The head to send to another entry VM, with the caller's key. */
	void (*write_passed)(const struct http_head *head,
			     const struct dialect_forward *forward,
			     struct bytes *out);
	void (*read_answer)(const struct http_head *head,
			    struct dialect_answer *answer);
	/** Header lines of a server's answer for the caller. */
	void (*write_answer)(const struct http_head *head, struct bytes *out);
	/**
	 * Status and header lines of an answer of our own.
	 *
	 * @param id	the caller's, or NULL
	 */
	int (*write_refusal)(const char *id, enum result code,
			     enum run_state run, int64_t retry_after_ms,
			     struct bytes *out);

	/** NULL after a message to `handler`, also if it can't be obeyed. */
	struct document *(*read_document)(const char *text, size_t len,
					  const struct error_handler *handler);
	bool (*is_ready_call)(const struct http_head *head);
	void (*read_call)(const struct http_head *head,
			  struct dialect_call *call);
	/** RESULT_OK, or RESULT_BAD_REQUEST after a message to `handler`. */
	enum result (*read_registration)(const char *server, const char *text,
					 size_t len,
					 struct registration *registration,
					 const struct error_handler *handler);

	/** A call to the platform: head and body in one. */
	enum result (*write_platform_call)(
		const struct effect_platform_call *call, const char *vm,
		const char *platform, struct bytes *out);
	enum result (*read_platform_status)(int status);
};

#endif
