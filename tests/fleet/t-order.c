#include <glib.h>
#include <string.h>

#include "agree/codec.h"
#include "base/rng.h"
#include "fleet/order.h"
#include "servers.h"

/* A site: the order book in the log, and a platform without fencing checks. */
struct site {
	struct order_book *book;
	struct fleet fleet;
	int64_t now_us;
	int64_t index;
	GHashTable *platform; /* order id to address */
	int started;
	bool unavailable;
};

/* A daemon that is, or assumes to be, the lease holder. */
struct holder {
	struct site *site;
	struct orders *orders;
	int64_t fence;
	int64_t until_us;
	bool cut_off; /* none of its proposals is committed */
	json_t *late; /* proposed and not committed yet */
};

static void place(void *data, const json_t *order)
{
	struct holder *holder = data;

	if (holder->late)
		json_array_append(holder->late, (json_t *)order);
	else if (!holder->cut_off)
		order_book_place(holder->site->book, order, 1,
				 ++holder->site->index);
}

static void settle(void *data, const char *order_id, const char *state,
		   const char *address)
{
	struct holder *holder = data;

	if (!holder->cut_off)
		order_book_settle(holder->site->book, order_id, state, address);
}

static void site_start(struct site *site)
{
	memset(site, 0, sizeof(*site));
	site->book = order_book_new();
	fleet_init(&site->fleet);
	site->platform =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void site_stop(struct site *site)
{
	order_book_free(site->book);
	fleet_clear(&site->fleet);
	g_hash_table_destroy(site->platform);
}

static void holder_start(struct holder *holder, struct site *site,
			 int64_t fence)
{
	struct order_hooks hooks = { place, settle, holder };

	memset(holder, 0, sizeof(*holder));
	holder->site = site;
	holder->fence = fence;
	holder->until_us = INT64_MAX;
	holder->orders = orders_new(&hooks);
}

static struct order_situation situation_of(const struct holder *holder)
{
	struct order_situation situation = {
		.book = holder->site->book,
		.fleet = &holder->site->fleet,
		.fence = holder->fence,
		.until_us = holder->until_us,
		.now_us = holder->site->now_us,
	};

	return situation;
}

static json_t *platform_list(const struct site *site)
{
	json_t *list = json_array();
	GHashTableIter at;
	void *id;
	void *address;

	g_hash_table_iter_init(&at, site->platform);
	while (g_hash_table_iter_next(&at, &id, &address))
		json_array_append_new(list,
				      json_pack("{s:s s:s s:s}", "order_id", id,
						"state", "running", "address",
						address));
	return list;
}

/* The platform's answer to a call; NULL if the kind isn't available. */
static json_t *platform_take(struct site *site,
			     const struct effect_platform_call *call)
{
	char *address = g_hash_table_lookup(site->platform, call->order_id);

	if (!strcmp(call->verb, "list"))
		return platform_list(site);
	if (site->unavailable)
		return json_pack("{s:s}", "state", "unavailable");
	if (!address) {
		address = g_strdup_printf("s:%d", ++site->started);
		g_hash_table_insert(site->platform, g_strdup(call->order_id),
				    address);
	}
	return json_pack("{s:s s:s}", "state", "accepted", "address", address);
}

/* Runs a tick, executes its calls and returns the answers unless `lost`. */
static int holder_tick(struct holder *holder, struct target *target, bool lost)
{
	struct order_situation situation = situation_of(holder);
	struct effects effects;
	struct effect *effect;
	int calls = 0;

	effects_init(&effects);
	orders_tick(holder->orders, &situation, &effects);
	while ((effect = effects_take(&effects))) {
		struct effect_platform_call *call = &effect->u.platform_call;
		struct event_platform answer = { .order_id = call->order_id };
		json_t *body = platform_take(holder->site, call);
		char *text = json_dumps(body, 0);

		calls++;
		g_assert_cmpint(call->fence, ==, holder->fence);
		bytes_append_text(&answer.body, text);
		if (!strcmp(codec_text(body, "state", ""), "unavailable"))
			answer.code = RESULT_PLATFORM_REFUSED;
		if (!lost)
			orders_answer(holder->orders, &situation, &answer,
				      target);
		bytes_clear(&answer.body);
		free(text);
		json_decref(body);
		effect_free(effect);
	}
	return calls;
}

static enum result holder_order(struct holder *holder)
{
	struct order_situation situation = situation_of(holder);
	struct target_step step = { .start = true, .pool = "m", .zone = "z1" };

	return orders_place(holder->orders, &situation, &step);
}

/* Marks the order book and reads the platform's list of servers. */
static void take_charge(struct holder *holder)
{
	holder_tick(holder, NULL, false);
	holder_tick(holder, NULL, false);
	g_assert_true(orders_ready(holder->orders));
}

static void count_open(void *data, const struct placed_order *placed)
{
	*(int *)data += !placed->settled;
}

static void count_starts(void *data, const struct placed_order *placed)
{
	*(int *)data += !strcmp(codec_text(placed->order, "verb", ""), "start");
}

/*
 * The lease holder proposes an order and is replaced before the commit. Its
 * successor plans without the order. When the entry is committed later, it must
 * not be accepted in addition to the successor's own order.
 */
static void order_of_a_former_holder_comes_too_late(void)
{
	struct site site;
	struct holder first;
	struct holder second;
	int starts = 0;

	site_start(&site);
	holder_start(&first, &site, 4);
	take_charge(&first);
	first.late = json_array();
	g_assert_cmpint(holder_order(&first), ==, RESULT_OK);
	holder_start(&second, &site, 5);
	take_charge(&second);
	g_assert_cmpint(holder_order(&second), ==, RESULT_OK);
	g_assert_cmpint(order_book_place(site.book,
					 json_array_get(first.late, 0), 1, 9),
			==, RESULT_LEASE_LOST);
	order_book_visit(site.book, count_starts, &starts);
	g_assert_cmpint(starts, ==, 1);
	json_decref(first.late);
	orders_free(first.orders);
	orders_free(second.orders);
	site_stop(&site);
}

/*
 * The lease holder sends a start, the answer is lost, and it is replaced. The
 * successor must read the platform's list before it orders, find the started
 * server and not start a second one. The platform doesn't check fencing
 * numbers.
 */
static void successor_starts_no_second_server(void)
{
	struct site site;
	struct holder first;
	struct holder second;
	int open = 0;

	site_start(&site);
	holder_start(&first, &site, 4);
	g_assert_cmpint(holder_order(&first), ==, RESULT_LEASE_LOST);
	take_charge(&first);
	g_assert_cmpint(holder_order(&first), ==, RESULT_OK);
	g_assert_cmpint(holder_tick(&first, NULL, true), ==, 1);
	g_assert_cmpint(site.started, ==, 1);

	holder_start(&second, &site, 5);
	g_assert_cmpint(holder_order(&second), ==, RESULT_LEASE_LOST);
	take_charge(&second);
	g_assert_cmpint(holder_tick(&second, NULL, false), ==, 0);
	order_book_visit(site.book, count_open, &open);
	g_assert_cmpint(open, ==, 1);
	servers_announce(&site.fleet, "s:1", "z1", false, 0, 1);
	holder_tick(&second, NULL, false);
	open = 0;
	order_book_visit(site.book, count_open, &open);
	g_assert_cmpint(open, ==, 0);
	g_assert_cmpint(site.started, ==, 1);
	orders_free(first.orders);
	orders_free(second.orders);
	site_stop(&site);
}

/*
 * A lease holder's process is stopped and continues after its lease has ended
 * and another daemon holds the lease. It must send nothing, or the platform,
 * which doesn't check fencing numbers, gets orders from two daemons.
 */
static void holder_past_its_lease_sends_nothing(void)
{
	struct site site;
	struct holder holder;

	site_start(&site);
	holder_start(&holder, &site, 4);
	take_charge(&holder);
	holder_order(&holder);
	holder.until_us = 3 * SECOND_US;
	site.now_us = 3 * SECOND_US - ORDER_TIMEOUT_MS * 1000 + 1;
	g_assert_cmpint(holder_tick(&holder, NULL, false), ==, 0);
	g_assert_cmpint(holder_order(&holder), ==, RESULT_LEASE_LOST);
	site.now_us--;
	g_assert_cmpint(holder_tick(&holder, NULL, false), ==, 1);
	orders_reset(holder.orders);
	g_assert_false(orders_ready(holder.orders));
	g_assert_cmpint(holder_order(&holder), ==, RESULT_LEASE_LOST);
	orders_free(holder.orders);
	site_stop(&site);
}

/* An order whose answer is lost repeatedly starts only one server. */
static void lost_answers_start_one_server(void)
{
	struct site site;
	struct holder holder;
	int calls = 0;
	int i;

	site_start(&site);
	holder_start(&holder, &site, 4);
	take_charge(&holder);
	holder_order(&holder);
	for (i = 0; i < 600; i++) {
		site.now_us += SECOND_US;
		calls += holder_tick(&holder, NULL, true);
	}
	g_assert_cmpint(site.started, ==, 1);
	g_assert_cmpint(calls, >, 5);
	g_assert_cmpint(calls, <, 20);
	orders_free(holder.orders);
	site_stop(&site);
}

/*
 * The quorum is slow: committing an order takes ten seconds, and a plan is made
 * every five seconds. The second plan must not order the same server again.
 */
static void slow_commit_orders_nothing_twice(void)
{
	struct site site;
	struct holder holder;
	int i;

	site_start(&site);
	holder_start(&holder, &site, 4);
	take_charge(&holder);
	holder.late = json_array();
	site.now_us = SECOND_US;
	g_assert_cmpint(holder_order(&holder), ==, RESULT_OK);
	g_assert_cmpint(holder_order(&holder), ==, RESULT_OK);
	orders_reset(holder.orders); /* the lease was lost briefly */
	take_charge(&holder);
	for (i = 0; i < 2; i++) {
		site.now_us += 5 * SECOND_US;
		g_assert_cmpint(holder_order(&holder), ==, RESULT_CONFLICT);
	}
	for (i = 0; i < 2; i++)
		order_book_place(site.book, json_array_get(holder.late, i), 1,
				 ++site.index);
	g_assert_cmpint(holder_order(&holder), ==, RESULT_OK);
	json_decref(holder.late);
	orders_free(holder.orders);
	site_stop(&site);
}

/*
 * Random changes of the lease holder, lost answers and lost proposals. Compares
 * the servers started with the orders: each order starts one server.
 */
static void random_changes_of_holder_start_each_server_once(void)
{
	unsigned int seed;

	for (seed = 1; seed <= 50; seed++) {
		struct rng rng = { seed };
		struct site site;
		struct holder holder;
		int64_t fence = 1;
		int starts = 0;
		int i;

		site_start(&site);
		holder_start(&holder, &site, fence);
		for (i = 0; i < 300; i++) {
			site.now_us += SECOND_US;
			holder.cut_off = !rng_below(&rng, 8);
			if (!rng_below(&rng, 20)) {
				orders_free(holder.orders);
				holder_start(&holder, &site, ++fence);
			}
			if (!rng_below(&rng, 10))
				holder_order(&holder);
			holder_tick(&holder, NULL, rng_below(&rng, 3));
		}
		holder.cut_off = false;
		for (i = 0; i < 200; i++) {
			site.now_us += SECOND_US;
			holder_tick(&holder, NULL, false);
		}
		order_book_visit(site.book, count_starts, &starts);
		g_assert_cmpint(site.started, ==, starts);
		orders_free(holder.orders);
		site_stop(&site);
	}
}

static void order_that_cannot_be_had_closes_the_offer(void)
{
	struct site site;
	struct holder holder;
	struct target *target = target_new();
	int open = 0;

	site_start(&site);
	site.unavailable = true;
	holder_start(&holder, &site, 4);
	take_charge(&holder);
	holder_order(&holder);
	holder_tick(&holder, target, false);
	order_book_visit(site.book, count_open, &open);
	g_assert_cmpint(open, ==, 0);
	orders_free(holder.orders);
	target_free(target);
	site_stop(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/order/successor", successor_starts_no_second_server);
	g_test_add_func("/order/late", order_of_a_former_holder_comes_too_late);
	g_test_add_func("/order/lease", holder_past_its_lease_sends_nothing);
	g_test_add_func("/order/lost", lost_answers_start_one_server);
	g_test_add_func("/order/slow", slow_commit_orders_nothing_twice);
	g_test_add_func("/order/random",
			random_changes_of_holder_start_each_server_once);
	g_test_add_func("/order/unavailable",
			order_that_cannot_be_had_closes_the_offer);
	return g_test_run();
}
