#include "daemon/descriptors.h"

#include <sys/resource.h>

/* Caller, backend server, and the duplicate that deadlines are kept by. */
#define EACH_REQUEST 3

/* An idle connection has its duplicate too. */
#define EACH_IDLE 2

/* Parts of the limit: the rest is for links, files and the threads' own. */
#define REQUESTS_PER_CENT 75
#define IDLE_PER_CENT 12

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
