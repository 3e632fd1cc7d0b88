#include "fakes/spawn.h"

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
#define SPAWN_REAP_MS 50
/* Room for the flags of so many daemons and for the others. */
#define SPAWN_DAEMONS 64
#define SPAWN_ARGS (2 * SPAWN_DAEMONS + 16)

static void spawn_reap(void *data);

void spawn_init(struct spawn *spawn, struct loop *loop, const char *folder,
		const struct addresses *daemons)
{
	spawn->loop = loop;
	spawn->folder = folder;
	spawn->daemons = daemons;
	list_init(&spawn->children);
	loop_timer_init(&spawn->reap_timer, spawn_reap, spawn);
}

/* Bound and released at once: nothing else here takes ports so fast. */
char *spawn_pick_address(void)
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

static void spawn_child_free(struct spawn_child *child)
{
	list_remove(&child->node);
	free(child->address);
	free(child->zone);
	free(child);
}

static void spawn_reap_soon(struct spawn *spawn)
{
	loop_timer_set(spawn->loop, &spawn->reap_timer,
		       loop_now_us() + SPAWN_REAP_MS * US_PER_MS);
}

static void spawn_reap(void *data)
{
	struct spawn *spawn = data;
	struct spawn_child *child;
	struct spawn_child *tmp;

	list_foreach_safe(child, tmp, &spawn->children, node)
		if (waitpid(child->pid, NULL, WNOHANG) == child->pid)
			spawn_child_free(child);
	if (!list_empty(&spawn->children))
		spawn_reap_soon(spawn);
}

static size_t spawn_add(char **argv, size_t n, const char *flag,
			const char *value)
{
	argv[n++] = (char *)flag;
	argv[n++] = (char *)value;
	return n;
}

static size_t spawn_arguments(const struct spawn *spawn, char **argv,
			      const struct spawn_request *request)
{
	size_t n = 1;
	size_t i;

	n = spawn_add(argv, n, "--listen", request->address);
	n = spawn_add(argv, n, "--zone", request->zone);
	if (request->service)
		n = spawn_add(argv, n, "--name", request->service);
	else
		n = spawn_add(argv, n, "--model", request->model);
	for (i = 0; i < spawn->daemons->n && i < SPAWN_DAEMONS; i++)
		n = spawn_add(argv, n, "--daemon", spawn->daemons->list[i]);
	if (request->cheap)
		argv[n++] = "--cheap";
	argv[n] = NULL;
	return n;
}

/* The loop blocks its signals; a child must get them as usual. */
static int spawn_run(pid_t *pid, const char *program, char **argv)
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

bool spawn_start(struct spawn *spawn, const struct spawn_request *request)
{
	cleanup(free_ptr) char *program =
		xstrfmt("%s/%s", spawn->folder,
			request->service ? "fake-service" : "fake-engine");
	char *argv[SPAWN_ARGS];
	struct spawn_child *child;
	pid_t pid;

	argv[0] = program;
	spawn_arguments(spawn, argv, request);
	if (spawn_run(&pid, program, argv))
		return false;
	child = xcalloc(1, sizeof(*child));
	child->pid = pid;
	child->address = xstrdup(request->address);
	child->zone = xstrdup(request->zone);
	child->cheap = request->cheap;
	list_append(&spawn->children, &child->node);
	spawn_reap_soon(spawn);
	return true;
}

void spawn_stop(struct spawn *spawn, const char *address)
{
	struct spawn_child *child;

	list_foreach(child, &spawn->children, node)
		if (!strcmp(child->address, address))
			kill(child->pid, SIGTERM);
}

int64_t spawn_kill_cheap(struct spawn *spawn, const char *zone)
{
	struct spawn_child *child;
	int64_t n = 0;

	list_foreach(child, &spawn->children, node) {
		if (!child->cheap || strcmp(child->zone, zone))
			continue;
		kill(child->pid, SIGKILL);
		n++;
	}
	return n;
}

bool spawn_has(const struct spawn *spawn, const char *address)
{
	const struct spawn_child *child;

	list_foreach(child, &spawn->children, node)
		if (!strcmp(child->address, address))
			return true;
	return false;
}

void spawn_clear(struct spawn *spawn)
{
	struct spawn_child *child;

	loop_timer_cancel(&spawn->reap_timer);
	while ((child = list_first(&spawn->children, struct spawn_child,
				   node))) {
		kill(child->pid, SIGKILL);
		waitpid(child->pid, NULL, 0);
		spawn_child_free(child);
	}
}
