#include "daemon/http/connect_watch.h"

#include <dlfcn.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* The one thing that can't be passed in: neon calls connect() itself. */
static __thread connect_watch_fn thread_hook;
static __thread void *thread_data;

void connect_watch_begin(connect_watch_fn hook, void *data)
{
	thread_hook = hook;
	thread_data = data;
}

void connect_watch_end(void)
{
	thread_hook = NULL;
	thread_data = NULL;
}

int connect(int fd, const struct sockaddr *address, socklen_t len)
{
	int (*next)(int, const struct sockaddr *, socklen_t);
	void *symbol = dlsym(RTLD_NEXT, "connect");

	if (thread_hook && !thread_hook(thread_data, fd)) {
		errno = ECONNABORTED;
		return -1;
	}
	memcpy(&next, &symbol, sizeof(next));
	return next(fd, address, len);
}
