#ifndef TESTS_PATH_HARNESS_H
#define TESTS_PATH_HARNESS_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "daemon/http/http_in.h"
#include "daemon/http/http_out.h"

/* What a test waits for must come within this time, or the test fails. */
#define HARNESS_WAIT_MS 20000

/** The edges with a fake core: events pile up until the test takes them. */
struct harness {
	pthread_mutex_t lock;
	pthread_cond_t more;
	struct list events;
	struct edge_sink sink;
	struct edge_counters counters;
	struct exchange_table exchanges;
	struct http_in *in;
	struct http_out *out;
};

/** Starts the edges; `change` may alter the listeners' options. */
void harness_start(struct harness *harness,
		   void (*change)(struct http_in_options *options));

/** The same with a platform at that address. */
void harness_start_with(struct harness *harness,
			void (*change)(struct http_in_options *options),
			const char *platform);
void harness_stop(struct harness *harness);

/** The first event of that kind, to be freed; others of it stay. */
struct event *harness_wait(struct harness *harness, enum event_kind kind);

/** Whether an event of that kind is there now. */
bool harness_has(struct harness *harness, enum event_kind kind);

/** An attempt with generous time-outs; the test changes what it's about. */
struct effect_start_attempt harness_attempt(uint64_t id, const char *address);

/** Carry out "the request ended": OK or a refusal. */
void harness_answer(struct harness *harness, uint64_t id, enum result code);

/** A connected socket to one of the listeners. */
int harness_dial(struct harness *harness, enum http_door door);

/** A server whose `serve` gets each connection, on a thread of its own. */
struct stand_in {
	int listener;
	char address[32];
	pthread_t thread;
	void (*serve)(struct stand_in *stand_in, int fd, int nth);
	gint connections;
	gint requests;
	gint stage; /**< for the test and `serve` to talk */
	pthread_mutex_t lock;
	GPtrArray *threads;
	GArray *fds;
};

void stand_in_start(struct stand_in *stand_in,
		    void (*serve)(struct stand_in *, int, int));
void stand_in_stop(struct stand_in *stand_in);

/**
 * A port that refuses connections until `listener` is closed. The test holds
 * it: a free port would soon be another test's, which would answer.
 */
void stand_in_refuse(struct stand_in *stand_in);

/** Wait until `*at` is at least `value`. */
void wait_for_count(gint *at, gint value);
void wait_for_counter(atomic_uint_fast64_t *counter, uint64_t value);

/** Read one HTTP request whole; false at the end of the connection. */
bool read_request(int fd, GString *head, GString *body);

/** Value of a header, lower case name, to be freed; NULL if missing. */
char *header_value(const GString *head, const char *name);

void write_text(int fd, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** Read until the text is in `all` or the connection ends. */
bool read_until(int fd, GString *all, const char *text);

/** Read to the end of the connection. */
void read_all(int fd, GString *all);

/** A stand-in's pieces of a streamed answer. */
void write_stream_head(int fd, const char *request_id);
void write_chunk(int fd, const char *request_id, const char *text);
void write_stream_end(int fd, const char *request_id);
void write_whole(int fd, const char *request_id, const char *body);

/** X-Request-Id of a request, to be freed. */
char *request_id_of(const GString *head);

/** The callers' side. */
void send_completion(int fd, bool stream);

/** Bytes that the sockets of a scene take before they push back. */
#define SMALL_BUFFER 16384

/** One caller's request that has come as far as the core, and a peer. */
struct scene {
	struct harness harness;
	struct stand_in peer;
	struct effect_start_attempt start; /**< for the test to change */
	int fd;				   /**< the caller's socket */
};

void scene_open(struct scene *scene, void (*serve)(struct stand_in *, int, int),
		void (*change)(struct http_in_options *options), bool stream);
void scene_start(struct scene *scene);
void scene_close(struct scene *scene);

/** The id of the next request to reach the core. */
uint64_t wait_request(struct harness *harness);

/** The next attempt to end ends so. */
void expect_ended(struct harness *harness, enum result code, bool sent,
		  int64_t tokens);

#endif
