#include "load/sched.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Waiting entries of one organisation in one tier. */
struct sched_flow {
	struct map_node by_key;
	struct heap_node node; /* in the tier's heap while n > 0 */
	struct list lanes;
	uint64_t organisation;
	int tier;
	double time; /* virtual start time of its next entry */
	size_t n;
	double cost;
};

/* Waiting entries of one organisation in one class. */
struct sched_lane {
	struct list in_flow;
	struct sched_flow *flow;
	struct heap_node node;	    /* in the class's heap while n > 0 */
	struct heap_node by_length; /* in the class's heap while n > 0 */
	struct heap entries;	    /* by due time */
	struct list order;	    /* of arrival */
	int class_id;
	double time;
};

struct flow_key {
	uint64_t organisation;
	int tier;
};

static bool flow_before(const struct heap_node *a, const struct heap_node *b)
{
	const struct sched_flow *x = container_of(a, struct sched_flow, node);
	const struct sched_flow *y = container_of(b, struct sched_flow, node);

	if (x->time != y->time)
		return x->time < y->time;
	return x->organisation < y->organisation;
}

static bool lane_before(const struct heap_node *a, const struct heap_node *b)
{
	const struct sched_lane *x = container_of(a, struct sched_lane, node);
	const struct sched_lane *y = container_of(b, struct sched_lane, node);

	if (x->time != y->time)
		return x->time < y->time;
	return x->flow->organisation < y->flow->organisation;
}

static bool lane_longer(const struct heap_node *a, const struct heap_node *b)
{
	const struct sched_lane *x =
		container_of(a, struct sched_lane, by_length);
	const struct sched_lane *y =
		container_of(b, struct sched_lane, by_length);

	if (x->entries.n != y->entries.n)
		return x->entries.n > y->entries.n;
	return x->flow->organisation < y->flow->organisation;
}

static bool entry_before(const struct heap_node *a, const struct heap_node *b)
{
	const struct sched_entry *x = container_of(a, struct sched_entry, node);
	const struct sched_entry *y = container_of(b, struct sched_entry, node);

	if (x->due_us != y->due_us)
		return x->due_us < y->due_us;
	return x->sequence < y->sequence;
}

static bool flow_match(const struct map_node *node, const void *data)
{
	const struct sched_flow *flow =
		container_of(node, struct sched_flow, by_key);
	const struct flow_key *key = data;

	return flow->organisation == key->organisation &&
	       flow->tier == key->tier;
}

static uint64_t flow_hash(const struct flow_key *key)
{
	uint64_t mixed = key->organisation * SCHED_TIERS + (uint64_t)key->tier;

	return mixed * UINT64_C(0x9e3779b97f4a7c15) >> 16;
}

static struct sched_flow *flow_find(const struct sched *sched,
				    uint64_t organisation, int tier)
{
	struct flow_key key = { organisation, tier };
	struct map_node *node;

	node = map_find(&sched->flows, flow_hash(&key), flow_match, &key);
	return node ? container_of(node, struct sched_flow, by_key) : NULL;
}

static struct sched_flow *flow_get(struct sched *sched, uint64_t organisation,
				   int tier)
{
	struct flow_key key = { organisation, tier };
	struct sched_flow *flow = flow_find(sched, organisation, tier);

	if (flow)
		return flow;
	flow = xcalloc(1, sizeof(*flow));
	list_init(&flow->lanes);
	flow->organisation = organisation;
	flow->tier = tier;
	map_insert(&sched->flows, &flow->by_key, flow_hash(&key));
	return flow;
}

static struct sched_lane *lane_get(struct sched_flow *flow, int class_id)
{
	struct sched_lane *lane;

	list_foreach(lane, &flow->lanes, in_flow)
		if (lane->class_id == class_id)
			return lane;
	lane = xcalloc(1, sizeof(*lane));
	lane->flow = flow;
	lane->class_id = class_id;
	heap_init(&lane->entries, entry_before);
	list_init(&lane->order);
	list_append(&flow->lanes, &lane->in_flow);
	return lane;
}

static void lane_free(struct sched_lane *lane)
{
	list_remove(&lane->in_flow);
	heap_clear(&lane->entries);
	free(lane);
}

static void flow_free(struct sched *sched, struct sched_flow *flow)
{
	struct sched_lane *lane;
	struct sched_lane *next;

	list_foreach_safe(lane, next, &flow->lanes, in_flow)
		lane_free(lane);
	map_remove(&sched->flows, &flow->by_key);
	free(flow);
}

void sched_init(struct sched *sched)
{
	int i;

	memset(sched, 0, sizeof(*sched));
	map_init(&sched->flows);
	for (i = 0; i < SCHED_TIERS; i++)
		heap_init(&sched->tiers[i].flows, flow_before);
	for (i = 0; i < SCHED_CLASSES; i++) {
		heap_init(&sched->classes[i].lanes, lane_before);
		heap_init(&sched->classes[i].by_length, lane_longer);
	}
}

void sched_clear(struct sched *sched)
{
	struct sched_flow *flow;
	struct sched_flow *next;
	int i;

	map_foreach(flow, next, &sched->flows, by_key)
		flow_free(sched, flow);
	map_clear(&sched->flows);
	for (i = 0; i < SCHED_TIERS; i++)
		heap_clear(&sched->tiers[i].flows);
	for (i = 0; i < SCHED_CLASSES; i++) {
		heap_clear(&sched->classes[i].lanes);
		heap_clear(&sched->classes[i].by_length);
	}
}

/* An idle flow or lane accumulates no credit: advance its virtual time. */
static void flow_activate(struct sched *sched, struct sched_flow *flow)
{
	struct sched_tier *tier = &sched->tiers[flow->tier];

	if (flow->time < tier->time)
		flow->time = tier->time;
	heap_push(&tier->flows, &flow->node);
}

static void lane_wake(struct sched *sched, struct sched_lane *lane)
{
	struct sched_class *class = &sched->classes[lane->class_id];

	if (lane->time < class->time)
		lane->time = class->time;
	heap_push(&class->lanes, &lane->node);
	heap_push(&class->by_length, &lane->by_length);
}

static void sched_count(struct sched *sched, const struct sched_lane *lane,
			int n, double cost)
{
	struct sched_class *class = &sched->classes[lane->class_id];
	struct sched_tier *tier = &sched->tiers[lane->flow->tier];

	sched->n += (size_t)n;
	class->n += (size_t)n;
	class->cost += cost;
	tier->n += (size_t)n;
	tier->cost += cost;
	lane->flow->n += (size_t)n;
	lane->flow->cost += cost;
}

void sched_push(struct sched *sched, struct sched_entry *entry, int class_id,
		uint64_t organisation)
{
	struct sched_class *class = &sched->classes[class_id];
	struct sched_flow *flow = flow_get(sched, organisation, class->tier);
	struct sched_lane *lane = lane_get(flow, class_id);

	entry->lane = lane;
	entry->organisation = organisation;
	heap_push(&lane->entries, &entry->node);
	list_append(&lane->order, &entry->order);
	sched_count(sched, lane, 1, entry->cost);
	if (!flow->node.place)
		flow_activate(sched, flow);
	if (lane->entries.n == 1)
		lane_wake(sched, lane);
	else
		heap_moved(&class->by_length, &lane->by_length);
}

void sched_remove(struct sched *sched, struct sched_entry *entry)
{
	struct sched_lane *lane = entry->lane;
	struct sched_class *class;
	struct sched_flow *flow;

	if (!lane)
		return;
	class = &sched->classes[lane->class_id];
	flow = lane->flow;
	heap_remove(&lane->entries, &entry->node);
	list_remove(&entry->order);
	entry->lane = NULL;
	sched_count(sched, lane, -1, -entry->cost);
	if (!lane->entries.n) {
		heap_remove(&class->lanes, &lane->node);
		heap_remove(&class->by_length, &lane->by_length);
	} else {
		heap_moved(&class->by_length, &lane->by_length);
	}
	if (!flow->n)
		heap_remove(&sched->tiers[flow->tier].flows, &flow->node);
}

static struct sched_entry *lane_first(const struct sched_lane *lane)
{
	struct heap_node *top = heap_top(&lane->entries);

	return top ? container_of(top, struct sched_entry, node) : NULL;
}

static struct sched_entry *flow_first(const struct sched_flow *flow)
{
	struct sched_entry *best = NULL;
	struct sched_entry *entry;
	struct sched_lane *lane;

	list_foreach(lane, &flow->lanes, in_flow) {
		entry = lane_first(lane);
		if (!entry)
			continue;
		if (!best || entry_before(&entry->node, &best->node))
			best = entry;
	}
	return best;
}

struct sched_entry *sched_next(const struct sched *sched, int lowest_tier)
{
	struct heap_node *top;
	int tier;

	for (tier = 0; tier <= lowest_tier && tier < SCHED_TIERS; tier++) {
		top = heap_top(&sched->tiers[tier].flows);
		if (top)
			return flow_first(
				container_of(top, struct sched_flow, node));
	}
	return NULL;
}

struct sched_entry *sched_next_of_class(const struct sched *sched, int class_id)
{
	struct heap_node *top = heap_top(&sched->classes[class_id].lanes);

	if (!top)
		return NULL;
	return lane_first(container_of(top, struct sched_lane, node));
}

void sched_serve(struct sched *sched, struct sched_entry *entry)
{
	struct sched_lane *lane = entry->lane;
	struct sched_flow *flow = lane->flow;
	struct sched_class *class = &sched->classes[lane->class_id];
	struct sched_tier *tier = &sched->tiers[flow->tier];

	if (tier->time < flow->time)
		tier->time = flow->time;
	if (class->time < lane->time)
		class->time = lane->time;
	flow->time += entry->cost;
	lane->time += entry->cost;
	sched_remove(sched, entry);
	heap_moved(&tier->flows, &flow->node);
	heap_moved(&class->lanes, &lane->node);
}

void sched_settle(struct sched *sched, uint64_t organisation, int tier,
		  double delta)
{
	struct sched_flow *flow = flow_find(sched, organisation, tier);

	if (!flow)
		return;
	flow->time += delta;
	heap_moved(&sched->tiers[tier].flows, &flow->node);
}

struct sched_entry *sched_newest_of_longest(const struct sched *sched,
					    int class_id)
{
	struct heap_node *top = heap_top(&sched->classes[class_id].by_length);
	struct sched_lane *lane;

	if (!top)
		return NULL;
	lane = container_of(top, struct sched_lane, by_length);
	return list_last(&lane->order, struct sched_entry, order);
}

size_t sched_lane_length(const struct sched_entry *entry)
{
	return entry->lane->entries.n;
}

int sched_class_of(const struct sched_entry *entry)
{
	return entry->lane->class_id;
}

int sched_tier_of(const struct sched_entry *entry)
{
	return entry->lane->flow->tier;
}

double sched_work_ahead(const struct sched *sched, uint64_t organisation,
			int tier, double cost)
{
	const struct sched_flow *flow = flow_find(sched, organisation, tier);
	double own = cost + (flow ? flow->cost : 0);
	double same = sched->tiers[tier].cost;
	double fair = own * (double)sched->tiers[tier].flows.n;
	double higher = 0;
	int i;

	for (i = 0; i < tier; i++)
		higher += sched->tiers[i].cost;
	return higher + (fair < same ? fair : same);
}

double sched_class_work(const struct sched *sched, int class_id)
{
	return sched->classes[class_id].cost;
}

void sched_set_class(struct sched *sched, int class_id, int tier)
{
	struct sched_class *class = &sched->classes[class_id];
	struct sched_entry *entry;
	struct sched_entry *next;
	struct sched_lane *lane;
	struct heap_node *top;
	struct list moving;

	if (class->tier == tier)
		return;
	list_init(&moving);
	while ((top = heap_top(&class->lanes))) {
		lane = container_of(top, struct sched_lane, node);
		entry = list_first(&lane->order, struct sched_entry, order);
		sched_remove(sched, entry);
		list_append(&moving, &entry->order);
	}
	class->tier = tier;
	list_foreach_safe(entry, next, &moving, order) {
		list_remove(&entry->order);
		sched_push(sched, entry, class_id, entry->organisation);
	}
}

void sched_forget(struct sched *sched, uint64_t organisation)
{
	struct sched_flow *flow;
	int tier;

	for (tier = 0; tier < SCHED_TIERS; tier++) {
		flow = flow_find(sched, organisation, tier);
		if (flow && !flow->n)
			flow_free(sched, flow);
	}
}
