#include "fakes/post.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/bytes.h"
#include "base/cleanup.h"

#define POST_TIMEOUT_US 2000000
#define POST_ANSWER_SIZE 256

struct post {
	struct list node;
	struct post_pool *pool;
	struct loop_watch watch;
	struct loop_timer timer;
	struct bytes out;
	char answer[POST_ANSWER_SIZE];
	size_t answer_len;
	int fd;
	post_done_fn done;
	void *data;
};

void post_pool_init(struct post_pool *pool, struct loop *loop)
{
	pool->loop = loop;
	list_init(&pool->posts);
}

static void post_free(struct post *post)
{
	list_remove(&post->node);
	loop_timer_cancel(&post->timer);
	if (post->fd >= 0)
		close(post->fd);
	bytes_clear(&post->out);
	free(post);
}

void post_pool_clear(struct post_pool *pool)
{
	struct post *post;
	struct post *tmp;

	list_foreach_safe(post, tmp, &pool->posts, node)
		post_free(post);
}

static void post_finish(struct post *post)
{
	int status = 0;

	post->answer[post->answer_len] = '\0';
	if (sscanf(post->answer, "HTTP/1.%*d %d", &status) != 1)
		status = 0;
	if (post->done)
		post->done(post->data, status);
	post_free(post);
}

static void post_timed_out(void *data)
{
	post_finish(data);
}

static void post_write(struct post *post)
{
	ssize_t n = send(post->fd, post->out.data, post->out.len, MSG_NOSIGNAL);

	if (n < 0 && errno != EAGAIN) {
		post_finish(post);
		return;
	}
	if (n > 0)
		bytes_consume(&post->out, (size_t)n);
	if (!post->out.len)
		loop_rewatch(post->pool->loop, post->fd, EPOLLIN, &post->watch);
}

static void post_read(struct post *post)
{
	size_t room = sizeof(post->answer) - 1 - post->answer_len;
	ssize_t n = recv(post->fd, post->answer + post->answer_len, room, 0);

	if (n > 0)
		post->answer_len += (size_t)n;
	/* The status line is all that is wanted. */
	if (n <= 0 || memchr(post->answer, '\n', post->answer_len))
		post_finish(post);
}

static void post_ready(void *data, uint32_t events)
{
	struct post *post = data;

	if (events & EPOLLOUT)
		post_write(post);
	else
		post_read(post);
}

static int post_connect(const char *address)
{
	cleanup(free_ptr) char *ip = xstrdup(address);
	char *colon = strrchr(ip, ':');
	struct sockaddr_in to = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 || !colon)
		return fd;
	*colon = '\0';
	to.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	inet_pton(AF_INET, ip, &to.sin_addr);
	/* A refusal shows at the first write. */
	(void)!connect(fd, (struct sockaddr *)&to, sizeof(to));
	return fd;
}

void post_send(struct post_pool *pool, const char *address, const char *path,
	       const char *json, post_done_fn done, void *data)
{
	struct post *post = xcalloc(1, sizeof(*post));

	post->pool = pool;
	post->done = done;
	post->data = data;
	post->watch.ready = post_ready;
	post->watch.data = post;
	loop_timer_init(&post->timer, post_timed_out, post);
	list_append(&pool->posts, &post->node);
	bytes_append_format(&post->out,
			    "POST %s HTTP/1.1\r\nHost: %s\r\n"
			    "Content-Type: application/json\r\n"
			    "Content-Length: %zu\r\nConnection: close\r\n\r\n"
			    "%s",
			    path, address, strlen(json), json);
	post->fd = post_connect(address);
	loop_timer_set(pool->loop, &post->timer,
		       loop_now_us() + POST_TIMEOUT_US);
	if (post->fd >= 0)
		loop_watch(pool->loop, post->fd, EPOLLOUT, &post->watch);
}
