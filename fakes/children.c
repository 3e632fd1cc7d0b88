#include "fakes/children.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"

#define US_PER_MS 1000
#define CHILDREN_REAP_MS 50
/* Room for the flags of so many daemons and for the others. */
#define CHILDREN_DAEMONS 64
#define CHILDREN_ARGS (2 * CHILDREN_DAEMONS + 16)

static void children_reap(void *data);

void children_init(struct children *children, struct loop *loop,
		   const char *folder, const struct addresses *daemons)
{
	children->loop = loop;
	children->folder = folder;
	children->daemons = daemons;
	list_init(&children->list);
	loop_timer_init(&children->reap_timer, children_reap, children);
}

/* Bound and released at once: nothing else here takes ports so fast. */
char *children_pick_address(void)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    getsockname(fd, (struct sockaddr *)&at, &len))
		at.sin_port = 0;
	if (fd >= 0)
		close(fd);
	return xstrfmt("127.0.0.1:%u", (unsigned int)ntohs(at.sin_port));
}

static void child_free(struct child *child)
{
	list_remove(&child->node);
	free(child->address);
	free(child->zone);
	free(child);
}

static void children_reap_soon(struct children *children)
{
	loop_timer_set(children->loop, &children->reap_timer,
		       loop_now_us() + CHILDREN_REAP_MS * US_PER_MS);
}

static void children_reap(void *data)
{
	struct children *children = data;
	struct child *child;
	struct child *tmp;

	list_foreach_safe(child, tmp, &children->list, node)
		if (waitpid(child->pid, NULL, WNOHANG) == child->pid)
			child_free(child);
	if (!list_empty(&children->list))
		children_reap_soon(children);
}

static size_t children_add(char **argv, size_t n, const char *flag,
			   const char *value)
{
	argv[n++] = (char *)flag;
	argv[n++] = (char *)value;
	return n;
}

static size_t children_arguments(const struct children *children, char **argv,
				 const struct child_request *request)
{
	size_t n = 1;
	size_t i;

	n = children_add(argv, n, "--listen", request->address);
	n = children_add(argv, n, "--zone", request->zone);
	if (request->service)
		n = children_add(argv, n, "--name", request->service);
	else
		n = children_add(argv, n, "--model", request->model);
	for (i = 0; i < children->daemons->n && i < CHILDREN_DAEMONS; i++)
		n = children_add(argv, n, "--daemon",
				 children->daemons->list[i]);
	if (request->cheap)
		argv[n++] = "--cheap";
	argv[n] = NULL;
	return n;
}

/* The loop blocks its signals; a child must get them as usual. */
static int children_run(pid_t *pid, const char *program, char **argv)
{
	posix_spawnattr_t attributes;
	sigset_t none;
	int error;

	sigemptyset(&none);
	posix_spawnattr_init(&attributes);
	posix_spawnattr_setsigmask(&attributes, &none);
	posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
	error = posix_spawn(pid, program, NULL, &attributes, argv, environ);
	posix_spawnattr_destroy(&attributes);
	return error;
}

bool children_start(struct children *children,
		    const struct child_request *request)
{
	cleanup(free_ptr) char *program =
		xstrfmt("%s/%s", children->folder,
			request->service ? "fake-service" : "fake-engine");
	char *argv[CHILDREN_ARGS];
	struct child *child;
	pid_t pid;

	argv[0] = program;
	children_arguments(children, argv, request);
	if (children_run(&pid, program, argv))
		return false;
	child = xcalloc(1, sizeof(*child));
	child->pid = pid;
	child->address = xstrdup(request->address);
	child->zone = xstrdup(request->zone);
	child->cheap = request->cheap;
	list_append(&children->list, &child->node);
	children_reap_soon(children);
	return true;
}

void children_stop(struct children *children, const char *address)
{
	struct child *child;

	list_foreach(child, &children->list, node)
		if (!strcmp(child->address, address))
			kill(child->pid, SIGTERM);
}

int64_t children_kill_cheap(struct children *children, const char *zone)
{
	struct child *child;
	int64_t n = 0;

	list_foreach(child, &children->list, node) {
		if (!child->cheap || strcmp(child->zone, zone))
			continue;
		kill(child->pid, SIGKILL);
		n++;
	}
	return n;
}

bool children_has(const struct children *children, const char *address)
{
	const struct child *child;

	list_foreach(child, &children->list, node)
		if (!strcmp(child->address, address))
			return true;
	return false;
}

void children_clear(struct children *children)
{
	struct child *child;

	loop_timer_cancel(&children->reap_timer);
	while ((child = list_first(&children->list, struct child, node))) {
		kill(child->pid, SIGKILL);
		waitpid(child->pid, NULL, 0);
		child_free(child);
	}
}
