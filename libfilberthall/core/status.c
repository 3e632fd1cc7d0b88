/*
 * Answers of operators' read commands: status, members, backend servers and
 * usage; and the model list and metrics that the listeners serve.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "core/core_state.h"

/* Committed usage windows that `usage` shows. */
#define STATUS_WINDOWS 8

static double status_seconds(int64_t us)
{
	return (double)us / 1e6;
}

static void status_add_class(void *data, const struct router_class_view *view)
{
	struct core *core = ((void **)data)[0];
	json_t *list = ((void **)data)[1];
	const struct metrics_class *counts =
		metrics_class(core->metrics, view->name);
	json_t *row = json_object();

	json_object_set_new(row, "name", json_string(view->name));
	json_object_set_new(row, "tier", json_integer(view->tier));
	json_object_set_new(row, "waiting", json_integer(view->waiting));
	json_object_set_new(row, "running", json_integer(view->running));
	json_object_set_new(row, "oldest_s",
			    json_real(status_seconds(view->oldest_us)));
	json_object_set_new(row, "offered",
			    json_integer(counts ? counts->offered : 0));
	json_object_set_new(row, "attained",
			    json_integer(counts ? counts->attained : 0));
	json_object_set_new(row, "refused",
			    json_integer(counts ? counts->refused : 0));
	json_object_set_new(row, "expired",
			    json_integer(counts ? counts->expired : 0));
	json_object_set_new(row, "wasted_tokens",
			    json_integer(counts ? counts->wasted_tokens : 0));
	json_array_append_new(list, row);
}

static json_t *status_worst(const struct core *core)
{
	const struct metrics_organisation *worst =
		metrics_worst_organisation(core->metrics);

	if (!worst)
		return json_null();
	return json_pack("{s:s, s:I, s:I}", "name", worst->name, "offered",
			 (json_int_t)worst->offered, "attained",
			 (json_int_t)worst->attained);
}

json_t *status_describe(struct core *core)
{
	json_t *answer = json_object();
	json_t *classes = json_array();
	void *data[2] = { core, classes };
	uint64_t ids[MEMBER_MAX];

	router_visit_classes(core->router, core->now_us, status_add_class,
			     data);
	json_object_set_new(answer, "vm", json_string(core->options.vm));
	json_object_set_new(answer, "zone", json_string(core->options.zone));
	json_object_set_new(answer, "leader",
			    json_boolean(raft_is_leader(core->raft)));
	json_object_set_new(answer, "in_charge",
			    json_boolean(lease_valid(raft_lease(core->raft),
						     core->now_us)));
	json_object_set_new(answer, "term",
			    json_integer(raft_term(core->raft)));
	json_object_set_new(answer, "applied_index",
			    json_integer(raft_applied_index(core->raft)));
	json_object_set_new(answer, "healthy", json_boolean(core->healthy));
	json_object_set_new(
		answer, "members",
		json_integer((json_int_t)raft_members(core->raft)->count));
	json_object_set_new(answer, "reached",
			    json_integer(peers_live(core, ids, MEMBER_MAX)));
	json_object_set_new(answer, "classes", classes);
	json_object_set_new(answer, "worst_organisation", status_worst(core));
	return answer;
}

json_t *status_members(struct core *core)
{
	const struct members *members = raft_members(core->raft);
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];
		struct member_health health = { 0 };
		json_t *row = json_object();
		char id[24];

		snprintf(id, sizeof(id), "%016" PRIx64, member->id);
		json_object_set_new(row, "id", json_string(id));
		json_object_set_new(row, "vm", json_string(member->vm));
		json_object_set_new(row, "zone", json_string(member->zone));
		json_object_set_new(row, "address",
				    json_string(member->address));
		json_object_set_new(row, "disk", json_boolean(member->disk));
		json_object_set_new(row, "role",
				    json_string(member->role == MEMBER_VOTER
							? "voter"
							: "learner"));
		json_object_set_new(row, "leader",
				    json_boolean(member->id ==
						 raft_leader(core->raft)));
		if (raft_health(core->raft, member->id, &health)) {
			json_object_set_new(row, "applied_index",
					    json_integer(health.applied));
			json_object_set_new(row, "silent_s",
					    json_real(status_seconds(
						    core->now_us -
						    health.last_contact_us)));
		}
		json_array_append_new(list, row);
	}
	return json_pack("{s:o}", "members", list);
}

static json_t *status_backend(const struct core *core,
			      const struct backend *backend)
{
	json_t *row = json_object();

	json_object_set_new(row, "address", json_string(backend->address));
	json_object_set_new(row, "zone", json_string(backend->zone));
	json_object_set_new(row, "kind",
			    json_string(backend->cheap ? "cheap" : "steady"));
	json_object_set_new(row, "serves",
			    json_string(backend->service[0] ? backend->service
							    : backend->model));
	json_object_set_new(row, "version", json_string(backend->version));
	json_object_set_new(row, "role", json_string(backend->role));
	json_object_set_new(row, "usable",
			    json_boolean(
				    backend_usable(backend, core->now_us)));
	json_object_set_new(row, "leaving", json_boolean(backend->leaving));
	json_object_set_new(row, "drained", json_boolean(backend->drained));
	json_object_set_new(row, "slots", json_integer(backend->slots));
	json_object_set_new(row, "running", json_integer(backend->running));
	json_object_set_new(row, "queued", json_integer(backend->queued));
	json_object_set_new(row, "own_running",
			    json_integer(backend->own.running));
	json_object_set_new(row, "report_age_s",
			    json_real(status_seconds(core->now_us -
						     backend->report_us)));
	return row;
}

json_t *status_backends(struct core *core)
{
	json_t *list = json_array();
	struct backend *backend;
	struct backend *next;

	map_foreach(backend, next, &core->fleet.backends, node)
		json_array_append_new(list, status_backend(core, backend));
	return json_pack("{s:o}", "backend_servers", list);
}

/* The row of a zone, added if it is new. */
static json_t *status_zone(json_t *list, const char *zone, bool evacuated)
{
	json_t *row;
	size_t i;

	json_array_foreach(list, i, row)
		if (!strcmp(json_string_value(json_object_get(row, "zone")),
			    zone))
			return row;
	row = json_pack("{s:s, s:b, s:i, s:i, s:i}", "zone", zone, "evacuated",
			(int)evacuated, "servers", 0, "usable", 0, "running",
			0);
	json_array_append_new(list, row);
	return row;
}

static void status_count(json_t *row, const char *key, int64_t n)
{
	json_t *value = json_object_get(row, key);

	json_integer_set(value, json_integer_value(value) + n);
}

json_t *status_zones(struct core *core)
{
	const struct evacuations *evacuations = &core->fleet.evacuations;
	const struct evacuation *zone;
	json_t *list = json_array();
	struct backend *backend;
	struct backend *next;
	json_t *row;

	list_foreach(zone, &evacuations->zones, node)
		if (zone->evacuated)
			status_zone(list, zone->zone, true);
	map_foreach(backend, next, &core->fleet.backends, node) {
		row = status_zone(list, backend->zone, false);
		status_count(row, "servers", 1);
		status_count(row, "usable",
			     backend_usable(backend, core->now_us));
		status_count(row, "running", backend->running);
	}
	return json_pack("{s:o}", "zones", list);
}

static void status_add_usage(void *data, const char *organisation,
			     const char *class_name,
			     const struct usage_counters *sum)
{
	json_array_append_new(
		data,
		json_pack("{s:s, s:s, s:I, s:I, s:I, s:I}", "organisation",
			  organisation, "class", class_name, "requests",
			  (json_int_t)sum->requests, "prompt_tokens",
			  (json_int_t)sum->prompt_tokens, "output_tokens",
			  (json_int_t)sum->output_tokens, "wasted_tokens",
			  (json_int_t)sum->wasted_tokens));
}

json_t *status_usage(struct core *core)
{
	const struct windows *windows = agreed_windows(core->agreed);
	int64_t window = usage_window(core->usage);
	int64_t last = windows_last(windows);
	json_t *rows = json_array();
	json_t *committed = json_array();
	int64_t i;

	usage_visit_classes(core->usage, window, status_add_usage, rows);
	for (i = last; i >= 0 && i > last - STATUS_WINDOWS; i--) {
		enum window_state state = windows_state(windows, i);

		if (state == WINDOW_OPEN)
			break;
		json_array_append_new(committed,
				      json_pack("{s:I, s:i, s:o}", "window",
						(json_int_t)i, "state", state,
						"rows",
						windows_figures(windows, i)));
	}
	return json_pack("{s:I, s:o, s:o}", "window", (json_int_t)window,
			 "rows", rows, "committed", committed);
}

static bool status_has_model(const json_t *list, const char *model)
{
	size_t i;
	json_t *row;

	json_array_foreach(list, i, row)
		if (!strcmp(json_string_value(json_object_get(row, "id")),
			    model))
			return true;
	return false;
}

static void status_write_models(const struct core *core, struct bytes *out)
{
	json_t *list = json_array();
	struct backend *backend;
	struct backend *next;
	json_t *root;
	char *text;

	map_foreach(backend, next, &core->fleet.backends, node)
		if (backend->model[0] &&
		    !status_has_model(list, backend->model))
			json_array_append_new(list,
					      json_pack("{s:s, s:s, s:s}", "id",
							backend->model,
							"object", "model",
							"owned_by",
							"filberthall"));
	root = json_pack("{s:s, s:o}", "object", "list", "data", list);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	bytes_append_text(out, text ? text : "{}");
	free(text);
}

static void status_write_queue(void *data, const struct router_class_view *view)
{
	bytes_append_format(data,
			    "filberthall_waiting{class=\"%s\"} %" PRId64 "\n"
			    "filberthall_running{class=\"%s\"} %" PRId64 "\n"
			    "filberthall_oldest_seconds{class=\"%s\"} %g\n",
			    view->name, view->waiting, view->name,
			    view->running, view->name,
			    status_seconds(view->oldest_us));
}

static void status_write_spend(struct core *core, struct bytes *out)
{
	const struct windows *windows = agreed_windows(core->agreed);
	json_t *spend = autoscaler_describe_spend(core);
	int64_t unsettled = windows_unsettled(windows);
	json_t *team;
	size_t i;

	bytes_append_format(
		out,
		"filberthall_spend_per_hour %g\n"
		"filberthall_usage_windows_unreported %" PRId64 "\n",
		json_number_value(json_object_get(spend, "per_hour")),
		unsettled < 0 ? 0 : windows_last(windows) - unsettled + 1);
	json_array_foreach(json_object_get(spend, "teams"), i, team)
		bytes_append_format(
			out, "filberthall_spend_total{team=\"%s\"} %g\n",
			json_string_value(json_object_get(team, "team")),
			json_number_value(json_object_get(team, "cost")));
	json_decref(spend);
}

static void status_write_metrics(struct core *core, struct bytes *out)
{
	const struct raft_counters *raft = raft_counters(core->raft);
	int64_t stale_us =
		core->now_us - raft_fresh_us(core->raft, core->now_us);

	metrics_write(core->metrics, out);
	status_write_spend(core, out);
	router_visit_classes(core->router, core->now_us, status_write_queue,
			     out);
	bytes_append_format(
		out,
		"filberthall_leader %d\nfilberthall_in_charge %d\n"
		"filberthall_term %" PRId64 "\n"
		"filberthall_applied_index %" PRId64 "\n"
		"filberthall_stale_seconds %g\nfilberthall_healthy %d\n"
		"filberthall_members %zu\nfilberthall_backend_servers %zu\n"
		"filberthall_raft_elections_total %" PRId64 "\n"
		"filberthall_raft_bytes_sent_total %" PRId64 "\n"
		"filberthall_raft_bytes_received_total %" PRId64 "\n"
		"filberthall_claims %zu\nfilberthall_keys %zu\n",
		raft_is_leader(core->raft),
		lease_valid(raft_lease(core->raft), core->now_us),
		raft_term(core->raft), raft_applied_index(core->raft),
		status_seconds(stale_us), core->healthy,
		raft_members(core->raft)->count, core->fleet.backends.count,
		raft->elections, raft->bytes_sent, raft->bytes_received,
		claims_count(agreed_claims(core->agreed)),
		keys_count(agreed_keys(core->agreed)));
}

void status_publish(struct core *core)
{
	struct effect_publish *publish =
		&effects_add(core->effects, EFFECT_PUBLISH)->u.publish;

	publish->healthy = core->healthy;
	status_write_models(core, &publish->models);
	status_write_metrics(core, &publish->metrics);
}
