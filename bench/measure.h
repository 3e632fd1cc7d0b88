#ifndef BENCH_MEASURE_H
#define BENCH_MEASURE_H

#include "base/result.h"
#include "bench/scenario.h"

/**
 * What callers received, by class and organisation, and the promises that
 * were broken. Nothing here looks into the routers.
 */

/** Length of a reporting interval, in which breaches are looked for. */
#define MEASURE_INTERVAL_S 1.0

/** A class that waits so long without any start starves. */
#define MEASURE_STARVED_S 30

struct measure_class {
	int64_t offered;
	int64_t served;
	int64_t attained;
	int64_t refused;
	int64_t expired;
	int64_t cut;
	int64_t wasted_tokens;
	double *first_token_s; /**< of those that had one */
	int n_first;
	int first_capacity;
	int64_t interval_starts;
	double interval_work;
	int64_t any_starts; /**< on cheap servers too */
	int64_t interval_sheds;
	int64_t interval_offered;
	int idle_intervals; /**< in a row with demand and no start */
};

struct measure_organisation {
	int64_t offered;
	int64_t attained;
	int64_t served;
};

struct measure {
	const struct scenario *scenario;
	int routers;
	struct measure_class *classes;
	struct measure_organisation *organisations;
	double good_tokens;
	double generated_tokens;
	double wasted_tokens;
	int64_t shed_over_lower;
	int64_t false_not_run;
	int64_t run_twice;
	int64_t starved;
	int64_t unanswered;	/**< requests that got no answer at all */
	int64_t answers_again;	/**< answers to one that had its own already */
	int64_t poison_crashes; /**< servers that poison requests took down */
	double *goodput_by_s;	/**< tokens of attained requests, by second */
	double *shed_by_s;
	int n_seconds;
};

/** How one request ended, as its caller saw it. */
struct measure_end {
	int class_index;
	int organisation_index;
	enum result code;
	enum run_state run;
	double arrived_s;
	double first_token_s; /**< 0 if none came */
	double ended_s;
	int64_t delivered;
	bool whole; /**< the caller did not stream */
	bool poison;
};

void measure_init(struct measure *measure, const struct scenario *scenario,
		  int routers);
void measure_clear(struct measure *measure);

void measure_offered(struct measure *measure, int class_index,
		     int organisation_index);
/**
 * A request was first sent to a backend server. Work on cheap servers takes
 * nothing from classes that may not run there.
 */
void measure_started(struct measure *measure, int class_index, double work,
		     bool cheap);
void measure_ended(struct measure *measure, const struct measure_end *end);
/** All that was generated for a request, once nothing runs for it. */
void measure_generated(struct measure *measure, int class_index,
		       int64_t generated, int64_t useful);
/** A reporting interval is over. */
void measure_interval(struct measure *measure);

/** First-token time below which a part of a class's answers stayed. */
double measure_first_token(const struct measure *measure, int class_index,
			   double quantile);

double measure_wasted_share(const struct measure *measure);
double measure_goodput(const struct measure *measure);

/**
 * Attained share of the worst-served organisation and, over organisations of
 * equal demand, the greatest gap between two, as parts of 1.
 */
double measure_worst(const struct measure *measure, const char **name);
double measure_gap(const struct measure *measure);

#endif
