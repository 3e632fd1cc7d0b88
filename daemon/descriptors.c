#include "daemon/descriptors.h"

#include <errno.h>
#include <limits.h>
#include <sys/resource.h>

/* Caller, backend server, and the duplicate that deadlines are kept by. */
#define EACH_REQUEST 3

/* An idle connection has its duplicate too. */
#define EACH_IDLE 2

/* Parts of the limit: the rest is for links, files and the threads' own. */
#define REQUESTS_PER_CENT 75
#define IDLE_PER_CENT 12

/*
 * The same for entry and control VMs, where a request and its server have a
 * descriptor each. Together they leave a twentieth.
 */
#define LISTENER_PER_CENT 39
#define SERVERS_PER_CENT 39
#define QUESTIONS_PER_CENT 2
#define STRANGERS_PER_CENT 13

bool descriptors_are_short(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	       error == ENOMEM;
}

int64_t descriptors_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur > INT64_MAX)
		return INT64_MAX;
	return (int64_t)limit.rlim_cur;
}

static int share(int wanted, int per_cent, int each)
{
	int64_t limit = descriptors_limit();
	int64_t most;

	if (limit > INT64_MAX / 100)
		return wanted;
	most = limit * per_cent / 100 / each;
	if (most < 1)
		most = 1;
	return most < wanted ? (int)most : wanted;
}

int descriptors_for_callers(int wanted)
{
	return share(wanted, REQUESTS_PER_CENT, EACH_REQUEST);
}

int descriptors_for_idle(int wanted)
{
	return share(wanted, IDLE_PER_CENT, EACH_IDLE);
}

int descriptors_for_requests(void)
{
	return share(INT_MAX, LISTENER_PER_CENT, 1);
}

int descriptors_for_servers(void)
{
	return share(INT_MAX, SERVERS_PER_CENT, 1);
}

int descriptors_for_questions(void)
{
	return share(INT_MAX, QUESTIONS_PER_CENT, 1);
}

int descriptors_for_strangers(int wanted)
{
	return share(wanted, STRANGERS_PER_CENT, 1);
}
