#ifndef FAKES_OPTIONS_H
#define FAKES_OPTIONS_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>

#include "fakes/announcer.h"

/** The flags that all stand-in backend servers share. */

/** Most --daemon and --fault flags that are taken. */
#define OPTIONS_MOST 64

/** Keys of a program's own flags begin here. */
#define OPTIONS_OWN_KEY 1000

struct options {
	char *listen;
	char *publish;
	char *zone;
	bool cheap;
	bool fences;
	int64_t linger_ms; /**< time between leaving and the end */
	char *daemons[OPTIONS_MOST + 1];
	char *faults[OPTIONS_MOST + 1];
	int64_t n_daemons;
	int64_t n_faults;
	struct announcer_options announcer;
	char boot_id[32];
};

/** Defaults, and a boot id that no other start has. */
void options_init(struct options *options);

/** Child parser; its input is a struct options. */
const struct argp *options_argp(void);

/** Read a flag's whole number or end with a message. */
int64_t options_int(const char *text, struct argp_state *state);

/** Read a flag's positive number or end with a message. */
double options_real(const char *text, struct argp_state *state);

#endif
