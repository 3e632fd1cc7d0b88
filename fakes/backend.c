#include "fakes/backend.h"

#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000
#define BACKEND_POLL_MS 20
/* A lease outlives two lost announcements. */
#define BACKEND_LEASE_PERIODS 3

static void backend_handle(void *data, struct exchange *exchange)
{
	struct backend *backend = data;

	if (!faults_handle(&backend->faults, exchange) &&
	    !addresses_handle(&backend->announcer.daemons, exchange))
		backend->handle(backend->data, exchange);
}

/* Leaving ends once answers are whole and daemons had time to hear of it. */
static void backend_try_end(void *data)
{
	struct backend *backend = data;
	int64_t linger_us = backend->options->linger_ms * US_PER_MS;
	int64_t now_us = loop_now_us();

	if (!server_exchange_count(&backend->server) &&
	    (!backend->announcer.daemons.n ||
	     now_us >= backend->announcer.left_us + linger_us))
		loop_end(&backend->loop);
	else
		loop_timer_set(&backend->loop, &backend->end_timer,
			       now_us + BACKEND_POLL_MS * US_PER_MS);
}

static void backend_leave(void *data)
{
	struct backend *backend = data;

	/* A second signal doesn't wait. */
	if (backend->announcer.announce.leaving) {
		loop_end(&backend->loop);
		return;
	}
	announcer_leave(&backend->announcer);
	backend_try_end(backend);
}

static bool backend_add_faults(struct backend *backend)
{
	char *const *fault = backend->options->faults;

	for (; *fault; fault++) {
		if (!faults_add(&backend->faults, *fault)) {
			fprintf(stderr, "--fault %s: not a fault\n", *fault);
			return false;
		}
	}
	return true;
}

static void backend_describe(struct backend *backend)
{
	struct event_announce *announce = &backend->announcer.announce;
	const struct options *options = backend->options;

	announce->address = backend->server.address;
	announce->boot_id = (char *)options->boot_id;
	announce->zone = options->zone;
	announce->cheap = options->cheap;
	announce->fences = options->fences;
	announce->lease_ms =
		BACKEND_LEASE_PERIODS * options->announcer.period_ms;
}

bool backend_start(struct backend *backend, const struct options *options,
		   server_handle_fn handle, announcer_measure_fn measure,
		   void *data)
{
	memset(backend, 0, sizeof(*backend));
	backend->options = options;
	backend->handle = handle;
	backend->data = data;
	loop_timer_init(&backend->end_timer, backend_try_end, backend);
	faults_init(&backend->faults, &backend->server);
	if (!loop_init(&backend->loop))
		return false;
	backend->loop.on_signal = backend_leave;
	backend->loop.signal_data = backend;
	announcer_init(&backend->announcer, &backend->loop, &options->announcer,
		       measure, data);
	if (!backend_add_faults(backend) ||
	    !server_start(&backend->server, &backend->loop, options->listen,
			  backend_handle, backend))
		return false;
	backend_describe(backend);
	return true;
}

bool backend_announce(struct backend *backend)
{
	const char *publish = backend->options->publish;

	if (publish && !server_publish(&backend->server, publish))
		return false;
	announcer_start(&backend->announcer);
	return true;
}

void backend_run(struct backend *backend)
{
	loop_run(&backend->loop);
}

void backend_clear(struct backend *backend)
{
	loop_timer_cancel(&backend->end_timer);
	announcer_clear(&backend->announcer);
	server_stop(&backend->server);
	faults_clear(&backend->faults);
	loop_clear(&backend->loop);
}

int64_t backend_left_ms(const struct backend *backend)
{
	int64_t left_us = backend->announcer.left_us;

	return left_us ? (loop_now_us() - left_us) / US_PER_MS : 0;
}
