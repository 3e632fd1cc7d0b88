#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "harness.h"

/* A caller whose request has come as far as the core. */
static struct event *open_request(struct harness *harness, int *fd)
{
	*fd = harness_dial(harness, HTTP_CALLERS);
	send_completion(*fd, true);
	return harness_wait(harness, EVENT_REQUEST);
}

/* The process is told to end while callers wait: it must end all the same. */
static void stop_cuts_what_is_open(void)
{
	g_autoptr(GString) reply = g_string_new(NULL);
	struct harness harness;
	int fd;

	harness_start(&harness, NULL);
	event_free(open_request(&harness, &fd));
	harness_stop(&harness);
	read_all(fd, reply);
	close(fd);
}

struct slow_reader {
	int fd;
	int64_t total;
};

static void *read_slowly(void *data)
{
	struct slow_reader *reader = data;
	char buffer[65536];
	ssize_t n;

	while ((n = read(reader->fd, buffer, sizeof(buffer))) > 0) {
		reader->total += n;
		g_usleep(2000);
	}
	return NULL;
}

/*
 * A caller gets half an answer when its VM is stopped: the core ends the last
 * request and the process closes its listeners before the bytes are out.
 */
static void stop_lets_the_last_answer_out(void)
{
	struct effect_answer answer = { .http_status = 200 };
	g_autofree char *large = g_strnfill(3000000, 'x');
	struct slow_reader reader = { 0 };
	struct harness harness;
	struct event *event;
	pthread_t thread;
	int fd;

	harness_start(&harness, NULL);
	event = open_request(&harness, &fd);
	answer.id = event->u.request.id;
	event_free(event);
	bytes_append_text(&answer.body, large);
	http_in_answer(harness.in, &answer);
	reader.fd = fd;
	pthread_create(&thread, NULL, read_slowly, &reader);
	harness_stop(&harness);
	pthread_join(thread, NULL);
	g_assert_cmpint(reader.total, >, 3000000);
	bytes_clear(&answer.body);
	close(fd);
}

/* While set, taking a descriptor out of an epoll set takes SLOW_REMOVE_US. */
static gint slow_remove;

#define SLOW_REMOVE_US 200

/* Stands before the C library's for all of this program, libraries too. */
int epoll_ctl(int set, int what, int fd, struct epoll_event *event)
{
	if (what == EPOLL_CTL_DEL && g_atomic_int_get(&slow_remove))
		g_usleep(SLOW_REMOVE_US);
	return (int)syscall(SYS_epoll_ctl, set, what, fd, event);
}

#define DIALLERS 4
#define STOPS 25

struct diallers {
	pthread_t threads[DIALLERS];
	gint stopped;
	int port;
};

static void *dial_until_stopped(void *data)
{
	struct diallers *diallers = data;
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)diallers->port),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd;

	while (!g_atomic_int_get(&diallers->stopped)) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		(void)!connect(fd, (struct sockaddr *)&to, sizeof(to));
		close(fd);
	}
	return NULL;
}

/*
 * A planned stop ends in an abort and cuts every open answer: callers connect
 * while the VM stops taking connections, and the stopping thread and one of
 * the HTTP library's take the listening socket out of the same epoll set. The
 * second to do so finds it gone, which the library takes for a fatal error.
 */
static void stop_under_connects(void)
{
	struct diallers diallers = { 0 };
	struct harness harness;
	int i;

	harness_start(&harness, NULL);
	diallers.port = http_in_port(harness.in, HTTP_CALLERS);
	for (i = 0; i < DIALLERS; i++)
		pthread_create(&diallers.threads[i], NULL, dial_until_stopped,
			       &diallers);
	g_atomic_int_set(&slow_remove, 1);
	harness_stop(&harness);
	g_atomic_int_set(&slow_remove, 0);
	g_atomic_int_set(&diallers.stopped, 1);
	for (i = 0; i < DIALLERS; i++)
		pthread_join(diallers.threads[i], NULL);
}

static void stop_while_callers_connect(void)
{
	int round;

	for (round = 0; round < STOPS; round++)
		stop_under_connects();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stop/whole", stop_lets_the_last_answer_out);
	g_test_add_func("/stop/dialled", stop_while_callers_connect);
	g_test_add_func("/stop/open", stop_cuts_what_is_open);
	return g_test_run();
}
