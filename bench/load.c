#include "bench/load.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "bench/request.h"

#define US_PER_S 1000000
#define US_PER_MS 1000

/** The next planned arrival of a class. */
struct load_arrival {
	struct list node;
	struct load *load;
	struct tally *tally;
	struct loop_timer timer;
	int64_t at_us;
};

/** One request under way. */
struct load_request {
	struct client_call call;
	struct list node;
	struct load *load;
	struct tally *tally;
	struct profile_organisation *organisation;
	struct answer answer;
	int64_t planned_us;
	int64_t last_token_us; /**< 0 before the first one */
	int64_t first_us;      /**< time to the first token, -1 before */
	bool counts;	       /**< the warm-up was over */
};

static void load_send_closed(struct load *load);

static void load_stop(struct load *load)
{
	struct load_arrival *arrival;

	load->stopping = true;
	loop_timer_cancel(&load->end_timer);
	list_foreach(arrival, &load->arrivals, node)
		loop_timer_cancel(&arrival->timer);
	if (!load->open)
		loop_end(&load->loop);
}

static void load_time_is_up(void *data)
{
	load_stop(data);
}

static void load_request_body(struct client_call *call, const char *piece,
			      size_t len)
{
	struct load_request *request =
		container_of(call, struct load_request, call);
	int64_t tokens =
		answer_take(&request->answer, call->status, piece, len);
	int64_t now_us;

	if (!tokens)
		return;
	now_us = loop_now_us();
	if (request->first_us < 0)
		request->first_us = now_us - request->planned_us;
	else if (request->counts)
		histogram_add(&request->tally->gap_us,
			      now_us - request->last_token_us);
	request->last_token_us = now_us;
	if (request->counts)
		request->tally->tokens += tokens;
}

static bool load_attained(const struct load_request *request, int64_t whole_us)
{
	const struct profile_class *class = request->tally->class;

	if (class->first_token_ms && class->stream &&
	    request->first_us > class->first_token_ms * US_PER_MS)
		return false;
	return !class->whole_ms || whole_us <= class->whole_ms * US_PER_MS;
}

static void load_count(struct load_request *request,
		       enum answer_verdict verdict)
{
	struct tally *tally = request->tally;
	int64_t whole_us = loop_now_us() - request->planned_us;

	tally->verdicts[verdict]++;
	if (verdict == ANSWER_REFUSED)
		tally_add_code(tally, request->answer.code);
	if (verdict != ANSWER_OK) {
		request->organisation->refused++;
		return;
	}
	request->organisation->ok++;
	tally->attained += load_attained(request, whole_us);
	histogram_add(&tally->whole_us, whole_us);
	if (request->first_us >= 0)
		histogram_add(&tally->first_us, request->first_us);
}

static void load_request_free(struct load_request *request)
{
	list_remove(&request->node);
	answer_clear(&request->answer);
	bytes_clear(&request->call.request);
	free(request);
}

static void load_request_ended(struct client_call *call, enum client_end end)
{
	struct load_request *request =
		container_of(call, struct load_request, call);
	struct load *load = request->load;
	enum answer_verdict verdict =
		answer_end(&request->answer, call->status, end == CLIENT_WHOLE);

	/* Bad answers of the warm-up are none the less bad. */
	if (request->counts || verdict > ANSWER_REFUSED)
		load_count(request, verdict);
	load->open--;
	load_request_free(request);
	if (load->options->streams && !load->stopping)
		load_send_closed(load);
	if (load->stopping && !load->open)
		loop_end(&load->loop);
}

static const struct client_calls load_calls = {
	.body = load_request_body,
	.ended = load_request_ended,
};

static struct profile_organisation *load_pick_organisation(struct load *load)
{
	double at = rng_unit(&load->rng) * load->share_sum;
	struct profile_organisation *organisation;

	list_foreach(organisation, &load->profile.organisations, node) {
		at -= organisation->share;
		if (at < 0)
			return organisation;
	}
	return list_first(&load->profile.organisations,
			  struct profile_organisation, node);
}

static void load_send(struct load *load, struct tally *tally,
		      int64_t planned_us)
{
	struct load_request *request;
	struct request_text text = { 0 };

	if (!tally)
		return;
	request = xcalloc(1, sizeof(*request));
	request->load = load;
	request->tally = tally;
	request->organisation = load_pick_organisation(load);
	request->planned_us = planned_us;
	request->first_us = -1;
	request->counts =
		planned_us >=
		load->start_us + (int64_t)(load->options->warm_up * US_PER_S);
	request->call.calls = &load_calls;
	request_write(&text, tally->class, request->organisation->key,
		      &load->rng);
	answer_init(&request->answer, text.kind, text.body, text.body_len,
		    tally->class->max_tokens);
	request->call.request = text.bytes;
	list_append(&load->requests, &request->node);
	load->sent++;
	load->open++;
	tally->sent += request->counts;
	client_send(&load->client, &request->call);
	if (load->options->requests && load->sent >= load->options->requests)
		load_stop(load);
}

static void load_plan(struct load_arrival *arrival)
{
	struct load *load = arrival->load;
	double rate = arrival->tally->class->rate * load->options->rate;

	if (load->stopping || rate <= 0)
		return;
	arrival->at_us +=
		(int64_t)(-log(1 - rng_unit(&load->rng)) / rate * US_PER_S);
	loop_timer_set(&load->loop, &arrival->timer, arrival->at_us);
}

static void load_arrive(void *data)
{
	struct load_arrival *arrival = data;
	int64_t planned_us = arrival->at_us;

	load_plan(arrival);
	load_send(arrival->load, arrival->tally, planned_us);
}

/* A class drawn by its rate takes the place of a stream that ended. */
static void load_send_closed(struct load *load)
{
	double at = rng_unit(&load->rng) * load->rate_sum;
	struct tally *picked = NULL;
	struct tally *tally;

	list_foreach(tally, &load->tallies, node) {
		picked = tally;
		at -= tally->class->rate;
		if (at < 0)
			break;
	}
	load_send(load, picked, loop_now_us());
}

static void load_progress(void *data)
{
	struct load *load = data;
	const struct tally *tally;
	int64_t ok = 0;
	int64_t refused = 0;
	int64_t bad = 0;

	list_foreach(tally, &load->tallies, node) {
		ok += tally->verdicts[ANSWER_OK];
		refused += tally->verdicts[ANSWER_REFUSED];
		bad += tally_bad(tally);
	}
	fprintf(stderr,
		"\r%5.0f s  sent %" PRId64 "  open %" PRId64 "  ok %" PRId64
		"  refused %" PRId64 "  bad %" PRId64 "  ",
		(double)(loop_now_us() - load->start_us) / US_PER_S, load->sent,
		load->open, ok, refused, bad);
	loop_timer_set(&load->loop, &load->progress_timer,
		       loop_now_us() + US_PER_S);
}

static void load_report_error(void *data, enum result code, const char *message)
{
	fprintf(stderr, "%s\n", message);
}

static void load_add_arrivals(struct load *load)
{
	const struct profile_class *class;

	list_foreach(class, &load->profile.classes, node) {
		struct load_arrival *arrival = xcalloc(1, sizeof(*arrival));

		arrival->load = load;
		arrival->tally = tally_new(class);
		loop_timer_init(&arrival->timer, load_arrive, arrival);
		list_append(&load->tallies, &arrival->tally->node);
		list_append(&load->arrivals, &arrival->node);
		load->rate_sum += class->rate;
	}
}

bool load_init(struct load *load, const struct load_options *options)
{
	struct error_handler handler = { load_report_error, load };
	const struct profile_organisation *organisation;

	memset(load, 0, sizeof(*load));
	load->options = options;
	load->rng.state = options->seed;
	list_init(&load->tallies);
	list_init(&load->arrivals);
	list_init(&load->requests);
	list_init(&load->client.connections);
	loop_timer_init(&load->progress_timer, load_progress, load);
	loop_timer_init(&load->end_timer, load_time_is_up, load);
	if (!loop_init(&load->loop) ||
	    profile_read(&load->profile, options->profile, &handler))
		return false;
	load_add_arrivals(load);
	list_foreach(organisation, &load->profile.organisations, node)
		load->share_sum += organisation->share;
	return client_init(&load->client, &load->loop, options->targets,
			   (size_t)options->n_targets,
			   options->timeout_ms * US_PER_MS);
}

void load_run(struct load *load)
{
	struct load_arrival *arrival;
	int64_t i;

	load->start_us = loop_now_us();
	if (load->options->seconds > 0)
		loop_timer_set(&load->loop, &load->end_timer,
			       load->start_us +
				       (int64_t)(load->options->seconds *
						 US_PER_S));
	if (!load->options->quiet && isatty(STDERR_FILENO))
		load_progress(load);
	for (i = 0; i < load->options->streams && !load->stopping; i++)
		load_send_closed(load);
	list_foreach(arrival, &load->arrivals, node) {
		arrival->at_us = load->start_us;
		if (!load->options->streams)
			load_plan(arrival);
	}
	loop_run(&load->loop);
	if (loop_timer_is_set(&load->progress_timer))
		fprintf(stderr, "\n");
}

int64_t load_report(const struct load *load)
{
	double seconds = (double)(loop_now_us() - load->start_us) / US_PER_S -
			 load->options->warm_up;
	const struct tally *tally;
	int64_t bad = 0;

	if (load->options->json)
		tally_print_json(&load->tallies, &load->profile, seconds);
	else
		tally_print(&load->tallies, &load->profile, seconds);
	list_foreach(tally, &load->tallies, node)
		bad += tally_bad(tally);
	return bad;
}

void load_clear(struct load *load)
{
	struct load_request *request;
	struct load_arrival *arrival;
	struct tally *tally;
	struct tally *tmp;

	client_clear(&load->client);
	while ((request =
			list_first(&load->requests, struct load_request, node)))
		load_request_free(request);
	while ((arrival = list_first(&load->arrivals, struct load_arrival,
				     node))) {
		list_remove(&arrival->node);
		free(arrival);
	}
	list_foreach_safe(tally, tmp, &load->tallies, node)
		tally_free(tally);
	profile_clear(&load->profile);
	loop_clear(&load->loop);
}
