#ifndef BENCH_PROFILE_H
#define BENCH_PROFILE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/list.h"

/**
 * What load to send, from a YAML file:
 *
 *	organisations:
 *	- {name: saleyards, key: fh_..., share: 3}
 *	- {name: drivers, key_file: drivers.key}
 *	classes:
 *	- name: summaries
 *	  class_header: true        # send the name as X-Filberthall-Class
 *	  rate: 20                  # requests a second
 *	  model: calf-7b            # or service: movements
 *	  path: /lodge              # of a service
 *	  stream: true
 *	  prompt_bytes: 400
 *	  prefixes: 10              # different beginnings of prompts
 *	  max_tokens: 64            # 0: open
 *	  output_tokens: 32         # 0: the engine draws it
 *	  deadline_ms: 2000         # 0: the class's own
 *	  first_token_ms: 560       # target; 0: none
 *	  whole_ms: 4000            # target; 0: none
 */
struct profile_organisation {
	struct list node;
	char *name;
	char *key;
	double share;
	int64_t ok;
	int64_t refused;
};

struct profile_class {
	struct list node;
	char *name;
	char *model;
	char *service;
	char *path;
	double rate;
	int64_t prompt_bytes;
	int64_t prefixes;
	int64_t max_tokens;
	int64_t output_tokens;
	int64_t deadline_ms;
	int64_t first_token_ms;
	int64_t whole_ms;
	bool stream;
	bool class_header;
};

struct profile {
	struct list organisations;
	struct list classes;
};

/**
 * Read a profile. Returns RESULT_OK, or a code with a message to `handler`
 * that names file, line and field. profile_clear() in any case.
 */
enum result profile_read(struct profile *profile, const char *file,
			 const struct error_handler *handler);

void profile_clear(struct profile *profile);

#endif
