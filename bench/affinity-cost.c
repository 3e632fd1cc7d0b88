/*
 * What it costs to know where streams were begun: bytes of a message, memory
 * and time of a control VM's table, at a rate of streams and a number of entry
 * VMs.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "feed/feed.h"
#include "load/affinity.h"

#define SECOND INT64_C(1000000)
#define LASTS_US (8 * SECOND) /* until a request's deadline */
#define RUN_S 120
#define MOST 262144
#define ORGANISATIONS 40

static int64_t clock_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return now.tv_sec * SECOND + now.tv_nsec / 1000;
}

static struct affinity make(int number, int64_t now_us)
{
	struct affinity affinity = { .service = map_hash_text("scribe"),
				     .version = map_hash_text("v1"),
				     .expires_us = now_us + LASTS_US +
						   AFFINITY_KEEP_US };
	char organisation[16];
	char name[24];

	snprintf(organisation, sizeof(organisation), "o%d",
		 number % ORGANISATIONS);
	snprintf(name, sizeof(name), "%016x", number);
	affinity.owner = map_hash_text(organisation);
	affinity.key = affinity_key(organisation, name);
	return affinity;
}

static size_t message_bytes(size_t n)
{
	struct affinity list[FEED_AFFINITIES_MOST];
	struct bytes body = { 0 };
	size_t len;
	size_t i;

	for (i = 0; i < n; i++)
		list[i] = make((int)i, 0);
	feed_write_affinities(&body, list, n, 0);
	len = body.len;
	bytes_clear(&body);
	return len;
}

static void run(int per_s, int entry_vms, int control_vms)
{
	struct affinities table;
	size_t before = mallinfo2().uordblks;
	int64_t spent_us = clock_us();
	int64_t now_us = SECOND;
	int number = 0;
	int s;
	int i;

	affinities_init(&table, MOST);
	for (s = 0; s < RUN_S; s++, now_us += SECOND) {
		for (i = 0; i < per_s; i++) {
			struct affinity affinity = make(number++, now_us);

			affinities_note(&table, &affinity, now_us);
		}
		affinities_expire(&table, now_us);
	}
	spent_us = clock_us() - spent_us;
	printf("%d streams/s, %d entry VMs: %zu records, %.1f MB, %.2f us a "
	       "stream; an entry VM sends %.2f kB/s, a control VM gets %.0f "
	       "kB/s\n",
	       per_s, entry_vms, table.records.count,
	       (double)(mallinfo2().uordblks - before) / 1e6,
	       (double)spent_us / number,
	       (double)message_bytes(1) * per_s / entry_vms * control_vms / 1e3,
	       (double)message_bytes(1) * per_s / 1e3);
	affinities_clear(&table);
}

int main(void)
{
	printf("a message of one record has %zu bytes, one of 64 %zu\n",
	       message_bytes(1), message_bytes(64));
	run(72, 7, 5);
	run(5000, 300, 9);
	return EXIT_SUCCESS;
}
