#include <glib.h>
#include <string.h>

#include "bed.h"

#define ANNEX "10.0.0.9:80"
#define OTHER "10.0.0.8:80"

static void add_server(struct bed *bed, const char *address,
		       const char *service, const char *version)
{
	struct registration told = { .zone = "z1", .sequence = 1, .slots = 8 };

	g_strlcpy(told.service, service, sizeof(told.service));
	g_strlcpy(told.version, version, sizeof(told.version));
	bed_deliver_registration(bed, address, told);
}

/* A VM with servers of both services, and two versions of one of them. */
static void start(struct bed *bed)
{
	bed_start(bed);
	add_server(bed, ANNEX, "annex", "v1");
	add_server(bed, OTHER, "annex", "v2");
}

static uint64_t begin(struct bed *bed, const char *name, const char *key)
{
	struct entry_request request = { .name = name,
					 .path = "/flow/1",
					 .key = key };

	return bed_submit(bed, request);
}

static uint64_t resume(struct bed *bed, const char *resumes, const char *key)
{
	struct entry_request request = { .name = "again",
					 .path = "/flow/1",
					 .key = key,
					 .last_event = "3",
					 .resumes = resumes };

	return bed_submit(bed, request);
}

/* A route has two services, and a stream is resumed at the other one. */
static void test_split_route(void)
{
	struct bed bed;
	char name[16];
	char at[BACKEND_NAME_SIZE];
	int i;

	start(&bed);
	for (i = 0; i < 24; i++) {
		g_snprintf(name, sizeof(name), "s%d", i);
		bed_begin_event(&bed, begin(&bed, name, "k1"));
		g_strlcpy(at, bed.started_at, sizeof(at));
		g_assert_cmpuint(resume(&bed, name, "k1"), ==, bed.started);
		g_assert_cmpstr(bed.started_at, ==, at);
		bed_end_attempt(&bed, bed.started, RESULT_OK, 200, true);
		bed_end_attempt(&bed, bed.started - 1, RESULT_OK, 200, true);
	}
	g_assert_cmpint(bed.asks, ==, 0);
	bed_end(&bed);
}

/* An organisation resumes another one's stream by its name. */
static void test_other_organisation(void)
{
	struct bed bed;
	uint64_t id;

	start(&bed);
	bed_begin_event(&bed, begin(&bed, "s1", "k1"));
	id = resume(&bed, "s1", BOARD_KEY);
	g_assert_cmpint(bed.asks, ==, 1);
	bed_deliver_unknown(&bed, true);
	bed_advance(&bed, SECOND / 2);
	bed_check_refused(&bed, id, RESULT_STREAM_UNKNOWN);
	bed_end(&bed);
}

/* A header that can't be read is taken for none. */
static void test_unreadable(void)
{
	struct entry_request request = { .name = "again",
					 .path = "/flow/1",
					 .key = "k1",
					 .last_event = "3",
					 .resumes = "s 1",
					 .unreadable = true };
	struct bed bed;
	uint64_t id;

	start(&bed);
	id = bed_submit(&bed, request);
	bed_check_refused(&bed, id, RESULT_BAD_REQUEST);
	bed_end(&bed);
}

/* A stopping VM takes requests, and refuses those that resume a stream. */
static void test_stopping(void)
{
	struct bed bed;
	uint64_t id;

	start(&bed);
	entry_stop(bed.entry, bed.now_us, 8 * SECOND, &bed.effects);
	bed_advance(&bed, SECOND / 10);
	id = resume(&bed, "elsewhere", "k1");
	g_assert_cmpint(bed.asks, ==, 1);
	g_assert_cmpuint(bed.answered, !=, id);
	bed_end(&bed);
}

/* The caller leaves while the control VMs are asked; it is answered then. */
static void test_caller_leaves(void)
{
	struct bed bed;
	uint64_t id;

	start(&bed);
	id = resume(&bed, "elsewhere", "k1");
	entry_caller_left(bed.entry, id, bed.now_us, &bed.effects);
	bed_advance(&bed, SECOND / 2);
	g_assert_cmpuint(bed.answered, !=, id);
	bed_end(&bed);
}

/* An organisation's made-up names use up what may be asked at once. */
static void test_many_unknown(void)
{
	struct bed bed;
	uint64_t id = 0;
	int i;

	start(&bed);
	for (i = 0; i < 1000; i++)
		id = resume(&bed, "made up", "k1");
	bed_check_refused(&bed, id, RESULT_STREAM_UNKNOWN);
	id = resume(&bed, "s1", BOARD_KEY);
	g_assert_cmpuint(bed.answered, !=, id);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/resume/split-route", test_split_route);
	g_test_add_func("/resume/other-organisation", test_other_organisation);
	g_test_add_func("/resume/unreadable", test_unreadable);
	g_test_add_func("/resume/stopping", test_stopping);
	g_test_add_func("/resume/caller-leaves", test_caller_leaves);
	g_test_add_func("/resume/many-unknown", test_many_unknown);
	return g_test_run();
}
