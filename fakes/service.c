#include "fakes/service.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/json.h"
#include "fakes/text.h"

#define US_PER_MS 1000
#define SERVICE_HASH_SIZE 17

/** How often something ran. */
struct service_count {
	struct map_node node;
	char *name;
	int64_t count;
};

/** One request; it goes on when its caller is gone. */
struct service_job {
	struct list node;
	struct service *service;
	struct exchange *exchange; /**< NULL if the caller left */
	struct loop_timer timer;
	char *request_id;
	char *key;
	char *path;
	char body_hash[SERVICE_HASH_SIZE];
	bool running;
};

static void service_admit(struct service *service);

static bool service_count_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct service_count, node)->name,
		       key);
}

static int64_t service_count_up(struct map *counts, const char *name)
{
	uint64_t hash = map_hash_text(name);
	struct map_node *node =
		map_find(counts, hash, service_count_match, name);
	struct service_count *count;

	if (node)
		return ++container_of(node, struct service_count, node)->count;
	count = xcalloc(1, sizeof(*count));
	count->name = xstrdup(name);
	count->count = 1;
	map_insert(counts, &count->node, hash);
	return count->count;
}

static void service_counts_clear(struct map *counts)
{
	struct service_count *count;
	struct service_count *tmp;

	map_foreach(count, tmp, counts, node) {
		map_remove(counts, &count->node);
		free(count->name);
		free(count);
	}
	map_clear(counts);
}

static json_t *service_counts_json(const struct map *counts)
{
	json_t *json = json_object();
	struct service_count *count;
	struct service_count *tmp;

	map_foreach(count, tmp, counts, node)
		json_object_set_new(json, count->name,
				    json_integer(count->count));
	return json;
}

static void service_answer_count(struct service *service,
				 struct exchange *exchange)
{
	json_answer(exchange, 200,
		    json_pack("{s:I, s:o, s:o, s:o, s:I}", "runs",
			      (json_int_t)service->runs, "by_request",
			      service_counts_json(&service->by_request),
			      "by_key", service_counts_json(&service->by_key),
			      "by_body", service_counts_json(&service->by_body),
			      "left_ms",
			      (json_int_t)backend_left_ms(&service->backend)));
}

static void service_job_free(struct service_job *job)
{
	if (job->exchange)
		exchange_on_over(job->exchange, NULL, NULL);
	loop_timer_cancel(&job->timer);
	if (job->running)
		job->service->n_running--;
	else
		job->service->n_waiting--;
	list_remove(&job->node);
	free(job->request_id);
	free(job->key);
	free(job->path);
	free(job);
}

/* What runs already has its effect; what waits is dropped. */
static void service_caller_left(void *data, bool whole)
{
	struct service_job *job = data;

	job->exchange = NULL;
	if (!job->running)
		service_job_free(job);
}

static int64_t service_record_run(struct service_job *job)
{
	struct service *service = job->service;
	int64_t count = service_count_up(&service->by_request, job->request_id);

	service->runs++;
	service_count_up(&service->by_body, job->body_hash);
	if (job->key)
		count = service_count_up(&service->by_key, job->key);
	if (service->record) {
		fprintf(service->record, "%s %s %s %s\n", job->request_id,
			job->key ? job->key : "-", job->body_hash, job->path);
		fflush(service->record);
	}
	return count;
}

static void service_answer(struct service_job *job, int64_t count)
{
	struct faults *faults = &job->service->backend.faults;

	if (faults_strike(faults, FAULT_CLOSE_AFTER_RUN, job->path, NULL)) {
		exchange_abort(job->exchange);
		return;
	}
	json_answer(job->exchange, 200,
		    json_pack("{s:s, s:s, s:s?, s:s, s:I}", "state", "lodged",
			      "request_id", job->request_id, "key", job->key,
			      "body_hash", job->body_hash, "run",
			      (json_int_t)count));
}

static void service_job_done(void *data)
{
	struct service_job *job = data;
	struct service *service = job->service;
	struct faults *faults = &service->backend.faults;
	int64_t count;

	if (faults_strike(faults, FAULT_CRASH_BEFORE_RUN, job->path, NULL))
		faults_crash("before the run");
	count = service_record_run(job);
	if (faults_strike(faults, FAULT_CRASH_AFTER_RUN, job->path, NULL))
		faults_crash("after the run");
	if (job->exchange)
		service_answer(job, count);
	service_job_free(job);
	service_admit(service);
}

static void service_admit(struct service *service)
{
	struct loop *loop = &service->backend.loop;
	struct service_job *job;

	while (service->n_running < service->options->slots &&
	       (job = list_first(&service->waiting, struct service_job,
				 node))) {
		int64_t work_ms = (int64_t)((double)service->options->work_ms *
					    service->backend.faults.slow);
		int64_t late_ms = 0;

		faults_strike(&service->backend.faults, FAULT_LATE, job->path,
			      &late_ms);
		list_remove(&job->node);
		list_append(&service->running, &job->node);
		service->n_waiting--;
		service->n_running++;
		job->running = true;
		loop_timer_set(loop, &job->timer,
			       loop_now_us() + (work_ms + late_ms) * US_PER_MS);
	}
}

static void service_name_answer(struct service_job *job)
{
	struct service *service = job->service;
	const char *id = job->request_id;

	if (faults_strike(&service->backend.faults, FAULT_CROSSED, job->path,
			  NULL))
		id = service->last_id ? service->last_id : "crossed";
	exchange_set_header(job->exchange, "X-Request-Id", id);
	free(service->last_id);
	service->last_id = xstrdup(job->request_id);
}

static void service_take(struct service *service, struct exchange *exchange)
{
	struct service_job *job = xcalloc(1, sizeof(*job));
	const char *id = exchange_header(exchange, "X-Request-Id");

	job->service = service;
	job->exchange = exchange;
	job->request_id = xstrdup(id ? id : "-");
	job->key = xstrdup(exchange_header(exchange, "Idempotency-Key"));
	job->path = xstrdup(exchange->path);
	snprintf(job->body_hash, sizeof(job->body_hash), "%016" PRIx64,
		 text_hash(bytes_text(&exchange->body), exchange->body.len));
	loop_timer_init(&job->timer, service_job_done, job);
	exchange_on_over(exchange, service_caller_left, job);
	service_name_answer(job);
	list_append(&service->waiting, &job->node);
	service->n_waiting++;
	service_admit(service);
}

static void service_handle(void *data, struct exchange *exchange)
{
	struct service *service = data;
	struct faults *faults = &service->backend.faults;
	int64_t status;

	if (!strcmp(exchange->path, "/count"))
		service_answer_count(service, exchange);
	else if (faults_strike(faults, FAULT_CLOSE_AFTER_READ, exchange->path,
			       NULL))
		exchange_abort(exchange);
	else if (faults_strike(faults, FAULT_ERROR, exchange->path, &status))
		exchange_answer_json(exchange, (int)status,
				     "{\"error\": \"asked for\"}\n");
	else
		service_take(service, exchange);
}

static void service_measure(void *data, struct event_announce *now)
{
	const struct service *service = data;

	now->running = service->n_running;
	now->queued = service->n_waiting;
}

bool service_start(struct service *service,
		   const struct service_options *options)
{
	struct event_announce *announce;

	memset(service, 0, sizeof(*service));
	service->options = options;
	list_init(&service->waiting);
	list_init(&service->running);
	map_init(&service->by_request);
	map_init(&service->by_key);
	map_init(&service->by_body);
	if (options->record) {
		service->record = fopen(options->record, "a");
		if (!service->record) {
			perror(options->record);
			return false;
		}
	}
	if (!backend_start(&service->backend, &options->common, service_handle,
			   service_measure, service))
		return false;
	announce = &service->backend.announcer.announce;
	announce->service = options->name;
	announce->version = "1";
	announce->role = "serve";
	announce->slots = options->slots;
	return backend_announce(&service->backend);
}

void service_run(struct service *service)
{
	backend_run(&service->backend);
}

static void service_jobs_clear(struct list *jobs)
{
	struct service_job *job;

	while ((job = list_first(jobs, struct service_job, node)))
		service_job_free(job);
}

void service_clear(struct service *service)
{
	if (service->backend.options)
		backend_clear(&service->backend);
	service_jobs_clear(&service->running);
	service_jobs_clear(&service->waiting);
	service_counts_clear(&service->by_request);
	service_counts_clear(&service->by_key);
	service_counts_clear(&service->by_body);
	free(service->last_id);
	if (service->record)
		fclose(service->record);
}
