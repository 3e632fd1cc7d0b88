#include "loop_bed.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

static void on_request(void *data, struct http_exchange *exchange)
{
	struct bed *bed = data;

	bed->requests++;
	bed->exchange = exchange;
}

static void on_left(void *data, struct http_exchange *exchange)
{
	struct bed *bed = data;

	bed->left++;
	bed->exchange = NULL;
}

void bed_start(struct bed *bed)
{
	struct http_limits limits = { 4096, 100, 300, 500 };
	struct http_server_hooks hooks = { on_request, on_left, bed };
	struct http_client_options options = { "Id", 300, 2000, 4 };

	memset(bed, 0, sizeof(*bed));
	bed->ev = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOTIMERFD);
	stream_loop_init(&bed->loop, bed->ev);
	bed->server = http_server_start(&bed->loop, "127.0.0.1:0", &limits,
					&hooks, NULL);
	bed->client = http_client_new(&bed->loop, &options);
	g_assert_nonnull(bed->server);
}

void bed_end(struct bed *bed)
{
	http_server_stop(bed->server);
	http_client_free(bed->client);
	stream_loop_clear(&bed->loop);
	ev_loop_destroy(bed->ev);
	bytes_clear(&bed->body);
}

void bed_run(struct bed *bed, const bool *done)
{
	int i;

	for (i = 0; i < 3000 && !(done && *done); i++) {
		ev_run(bed->ev, EVRUN_NOWAIT);
		g_usleep(1000);
		if (!done && i > 30)
			break;
	}
}

int bed_dial(int port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port),
				  .sin_addr = { htonl(INADDR_LOOPBACK) } };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(connect(fd, (struct sockaddr *)&to, sizeof(to)), ==, 0);
	return fd;
}

void bed_say(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
			(int)strlen(text));
}

const char *bed_hear(int fd)
{
	static char text[8192];
	ssize_t n = recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT);

	if (n == 0)
		return "EOF";
	text[n > 0 ? n : 0] = '\0';
	return text;
}

int bed_ask(struct bed *bed, const char *text)
{
	int fd;

	bed_start(bed);
	fd = bed_dial(http_server_port(bed->server));
	bed_say(fd, text);
	bed_run(bed, NULL);
	return fd;
}
