#include "daemon/memory.h"

#include <inttypes.h>
#include <string.h>
#include <sys/sysinfo.h>

/* The rest is the process's own, the allocator's and the system's sockets'. */
#define BUDGET_PER_CENT 50

/* Of the budget, for claims that aren't small. */
#define LARGE_PER_CENT 75

/* Of the budget, for messages of other VMs: without them a VM is cut off. */
#define LINKS_PER_CENT 125

/* Of the process's memory, for what the system buffers of connections. */
#define SYSTEM_PER_CENT 25

/* Of a socket, each way; the least of a small machine and of others. */
#define SOCKET_SMALL_BYTES (16 * 1024)
#define SOCKET_LEAST_BYTES (64 * 1024)
#define SOCKET_MOST_BYTES (256 * 1024)

/* A process with this memory is on no small machine any more. */
#define SOCKET_LEAST_MEMORY (INT64_C(1024) * 1024 * 1024)

/* Of the budget, what may be held once there is room again. */
#define ROOM_PER_CENT 50

static const char *const use_names[MEMORY_USES] = {
	[MEMORY_SOCKETS] = "sockets", [MEMORY_REQUESTS] = "requests",
	[MEMORY_ANSWERS] = "answers", [MEMORY_DOCUMENTS] = "documents",
	[MEMORY_LINKS] = "links",
};

static int64_t machine_bytes(void)
{
	struct sysinfo info;

	return sysinfo(&info) ? 0 : (int64_t)info.totalram * info.mem_unit;
}

void memory_init(struct memory *memory, int64_t mebibytes)
{
	memset(memory, 0, sizeof(*memory));
	memory->limit = mebibytes ? mebibytes * 1024 * 1024 : machine_bytes();
	memory->budget = memory->limit * BUDGET_PER_CENT / 100;
}

struct memory_claim memory_claim(struct memory *memory, enum memory_use use)
{
	struct memory_claim claim = { .memory = memory, .use = use };

	return claim;
}

static bool is_large(const struct memory_claim *claim, size_t bytes)
{
	return bytes > MEMORY_SMALL_BYTES && claim->use != MEMORY_LINKS;
}

static void note_most(struct memory *memory, int64_t held)
{
	int64_t most = atomic_load(&memory->most);

	while (held > most &&
	       !atomic_compare_exchange_weak(&memory->most, &most, held))
		;
}

/* Count what is granted, or held anyway. */
static int64_t count(struct memory_claim *claim, size_t bytes)
{
	struct memory *memory = claim->memory;
	int64_t change = (int64_t)bytes - (int64_t)claim->bytes;
	int64_t held = atomic_fetch_add(&memory->held, change) + change;

	atomic_fetch_add(&memory->held_for[claim->use], change);
	atomic_fetch_add(&memory->n_large,
			 is_large(claim, bytes) -
				 is_large(claim, claim->bytes));
	claim->bytes = bytes;
	return held;
}

static int64_t part(const struct memory *memory, int per_cent)
{
	return memory->budget * per_cent / 100;
}

static bool fits(const struct memory *memory, const struct memory_claim *claim,
		 int64_t held)
{
	if (claim->use == MEMORY_LINKS)
		return held <= part(memory, LINKS_PER_CENT);
	if (!is_large(claim, claim->bytes))
		return held <= memory->budget;
	return held <= part(memory, LARGE_PER_CENT) ||
	       atomic_load(&memory->n_large) == 1;
}

bool memory_ask(struct memory_claim *claim, size_t bytes)
{
	struct memory *memory = claim->memory;
	size_t before = claim->bytes;
	int64_t held;

	if (!memory || !memory->budget || bytes <= before) {
		memory_hold(claim, bytes);
		return true;
	}
	held = count(claim, bytes);
	if (fits(memory, claim, held)) {
		note_most(memory, held);
		return true;
	}
	count(claim, before);
	atomic_fetch_add(&memory->refused[claim->use], 1);
	atomic_store(&memory->wanted, true);
	return false;
}

void memory_hold(struct memory_claim *claim, size_t bytes)
{
	if (claim->memory && bytes != claim->bytes)
		note_most(claim->memory, count(claim, bytes));
	else
		claim->bytes = bytes;
}

void memory_release(struct memory_claim *claim)
{
	memory_hold(claim, 0);
}

bool memory_is_full(const struct memory *memory)
{
	return memory && memory->budget &&
	       atomic_load(&memory->held) >= memory->budget;
}

bool memory_has_room(const struct memory *memory)
{
	return !memory->budget ||
	       atomic_load(&memory->held) <= part(memory, ROOM_PER_CENT);
}

bool memory_is_wanted(struct memory *memory)
{
	return atomic_exchange(&memory->wanted, false) &&
	       !memory_has_room(memory);
}

static int64_t system_bytes(const struct memory *memory)
{
	return memory->limit * SYSTEM_PER_CENT / 100;
}

/* Long ways need more than a small machine can give to many. */
static int64_t least_bytes(const struct memory *memory)
{
	int64_t bytes =
		SOCKET_LEAST_BYTES * memory->limit / SOCKET_LEAST_MEMORY;

	if (bytes < SOCKET_SMALL_BYTES)
		return SOCKET_SMALL_BYTES;
	return bytes < SOCKET_LEAST_BYTES ? bytes : SOCKET_LEAST_BYTES;
}

int memory_connections(const struct memory *memory, int wanted, int queued)
{
	int64_t buffers;

	if (!memory || !memory->limit)
		return wanted;
	buffers = system_bytes(memory) / least_bytes(memory) - queued;
	if (buffers < 2)
		return 1;
	return buffers / 2 < wanted ? (int)(buffers / 2) : wanted;
}

int memory_socket_bytes(const struct memory *memory, int connections,
			int queued)
{
	int64_t bytes;

	if (!memory || !memory->limit)
		return SOCKET_MOST_BYTES;
	bytes = system_bytes(memory) / (2 * (int64_t)connections + queued);
	if (bytes < least_bytes(memory))
		return (int)least_bytes(memory);
	return bytes < SOCKET_MOST_BYTES ? (int)bytes : SOCKET_MOST_BYTES;
}

struct memory_view memory_view(const struct memory *memory)
{
	struct memory_view view = {
		.limit = memory->limit,
		.budget = memory->budget,
		.held = atomic_load(&memory->held),
		.most = atomic_load(&memory->most),
	};
	int use;

	for (use = 0; use < MEMORY_USES; use++) {
		view.held_for[use] = atomic_load(&memory->held_for[use]);
		view.refused[use] = atomic_load(&memory->refused[use]);
	}
	return view;
}

void memory_begin_most(struct memory *memory)
{
	atomic_store(&memory->most, atomic_load(&memory->held));
}

void memory_write_metrics(const struct memory *memory, struct bytes *out)
{
	struct memory_view view = memory_view(memory);
	int use;

	bytes_append_format(out,
			    "filberthall_memory_limit_bytes %" PRId64 "\n"
			    "filberthall_memory_budget_bytes %" PRId64 "\n",
			    view.limit, view.budget);
	for (use = 0; use < MEMORY_USES; use++)
		bytes_append_format(out,
				    "filberthall_memory_held_bytes"
				    "{use=\"%s\"} %" PRId64 "\n"
				    "filberthall_memory_refused_total"
				    "{use=\"%s\"} %" PRId64 "\n",
				    use_names[use], view.held_for[use],
				    use_names[use], view.refused[use]);
}
