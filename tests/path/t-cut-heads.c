/* Answers that break off at any byte, by each way to end a connection. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop_bed.h"

enum ending { ENDING_CLOSE, ENDING_RESET, ENDING_HALF, ENDINGS };

#define SIGNED "HTTP/1.1 200 OK\r\nId: 1\r\nFilberthall-Server-Signature: s\r\n"
#define INTERIM "HTTP/1.1 100 Continue\r\nX-Y: z\r\n\r\n"

static const struct {
	const char *head;
	const char *body;
	bool ends_open; /* the body ends with its connection */
} framings[] = {
	{ SIGNED "Content-Length: 3\r\n\r\n", "abc", false },
	{ SIGNED "Content-Length: 0\r\n\r\n", "", false },
	{ SIGNED "Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n",
	  false },
	{ SIGNED "\r\n", "abc", true },
	{ SIGNED "Connection: close\r\n\r\n", "abc", true },
	{ INTERIM SIGNED "Content-Length: 3\r\n\r\n", "abc", false },
	{ INTERIM INTERIM SIGNED "\r\n", "abc", true },
	{ "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", "", false },
};

struct answer {
	bool over;
	enum result code;
	size_t body;
};

static void on_head(void *data, const struct http_head *head)
{
}

static void on_body(void *data, const char *piece, size_t len)
{
	struct answer *answer = data;

	answer->body += len;
}

static void on_end(void *data, enum result code, bool sent)
{
	struct answer *answer = data;

	answer->over = true;
	answer->code = code;
}

static const struct http_call_hooks hooks = { on_head, on_body, on_end };

static int listen_at(char address[32])
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr = { htonl(INADDR_LOOPBACK) } };
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&at, len), ==, 0);
	g_assert_cmpint(listen(fd, 8), ==, 0);
	getsockname(fd, (struct sockaddr *)&at, &len);
	g_snprintf(address, 32, "127.0.0.1:%d", ntohs(at.sin_port));
	return fd;
}

static void end(int fd, enum ending ending)
{
	struct linger at_once = { 1, 0 };

	if (ending == ENDING_RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
	if (ending == ENDING_HALF)
		shutdown(fd, SHUT_WR);
	else
		close(fd);
}

/* The first `len` bytes of the text, then that end; what the client tells. */
static struct answer play(struct bed *bed, int listener, const char *address,
			  const char *text, size_t len, enum ending ending)
{
	struct answer answer = { 0 };
	struct bytes head = { 0 };
	struct http_call_request request = { .address = address,
					     .head = &head,
					     .id = "1",
					     .fresh = true,
					     .timeout_ms = 3000 };
	char asked[256];
	int fd;
	int i;

	bytes_append_text(&head, "GET / HTTP/1.1\r\n\r\n");
	http_call_start(bed->client, &request, &hooks, &answer);
	bytes_clear(&head);
	fd = accept(listener, NULL, NULL);
	/* A close with unread bytes would be a reset. */
	while (recv(fd, asked, sizeof(asked), MSG_DONTWAIT) <= 0)
		ev_run(bed->ev, EVRUN_NOWAIT);
	if (len)
		g_assert_cmpint(send(fd, text, len, MSG_NOSIGNAL), ==,
				(int)len);
	for (i = 0; i < 3; i++)
		ev_run(bed->ev, EVRUN_NOWAIT);
	end(fd, ending);
	for (i = 0; i < 10000 && !answer.over; i++)
		ev_run(bed->ev, EVRUN_ONCE);
	g_assert_true(answer.over);
	if (ending == ENDING_HALF)
		close(fd);
	return answer;
}

static void check_framing(struct bed *bed, int listener, const char *address,
			  size_t framing, enum ending ending)
{
	char *text = g_strconcat(framings[framing].head, framings[framing].body,
				 NULL);
	size_t head = strlen(framings[framing].head);
	size_t whole = strlen(text);
	struct answer answer;
	size_t len;

	for (len = 0; len <= whole; len++) {
		bool open = framings[framing].ends_open && len >= head &&
			    ending != ENDING_RESET;

		answer = play(bed, listener, address, text, len, ending);
		if (len == whole && !framings[framing].ends_open)
			g_assert_cmpint(answer.code, ==, RESULT_OK);
		else if (open)
			g_assert_cmpint(answer.code, ==, RESULT_OK);
		else
			g_assert_cmpint(answer.code, ==, RESULT_BACKEND_BROKE);
		if (len < head)
			g_assert_cmpint(answer.body, ==, 0);
	}
	g_free(text);
}

/* An answer that breaks off within its head is taken for a whole one. */
static void test_each_byte(gconstpointer data)
{
	enum ending ending = (enum ending)GPOINTER_TO_INT(data);
	char address[32];
	struct bed bed;
	int listener;
	size_t i;

	bed_start(&bed);
	listener = listen_at(address);
	for (i = 0; i < G_N_ELEMENTS(framings); i++)
		check_framing(&bed, listener, address, i, ending);
	close(listener);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/cut-heads/close", GINT_TO_POINTER(ENDING_CLOSE),
			     test_each_byte);
	g_test_add_data_func("/cut-heads/reset", GINT_TO_POINTER(ENDING_RESET),
			     test_each_byte);
	g_test_add_data_func("/cut-heads/half", GINT_TO_POINTER(ENDING_HALF),
			     test_each_byte);
	return g_test_run();
}
