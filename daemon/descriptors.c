#include "daemon/descriptors.h"

#include <sys/resource.h>

/* Caller, backend server, and the duplicate that deadlines are kept by. */
#define EACH_REQUEST 3

/* An idle connection has its duplicate too. */
#define EACH_IDLE 2

/* Parts of the limit: the rest is for links, files and the threads' own. */
#define REQUESTS_PER_CENT 75
#define IDLE_PER_CENT 12

static int share(int wanted, int per_cent, int each)
{
	struct rlimit limit;
	rlim_t most;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
		return wanted;
	most = limit.rlim_cur * per_cent / 100 / each;
	return most < (rlim_t)wanted ? (int)most : wanted;
}

int descriptors_for_callers(int wanted)
{
	return share(wanted, REQUESTS_PER_CENT, EACH_REQUEST);
}

int descriptors_for_idle(int wanted)
{
	return share(wanted, IDLE_PER_CENT, EACH_IDLE);
}
