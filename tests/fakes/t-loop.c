#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "fakes/loop.h"

#define WAIT_US INT64_C(50000)

static void on_ready(void *data, uint32_t events)
{
	*(bool *)data = true;
}

static void on_time(void *data)
{
	loop_end(data);
}

/* A closed connection whose copy lives on in a child is told of: freed memory. */
static void test_copy_lives_on(void)
{
	bool told = false;
	struct loop_watch watch = { on_ready, &told };
	struct loop_timer timer;
	struct loop loop;
	int ends[2];
	int copy;

	g_assert_true(loop_init(&loop));
	g_assert_cmpint(pipe(ends), ==, 0);
	g_assert_true(loop_watch(&loop, ends[0], EPOLLIN, &watch));
	copy = dup(ends[0]);
	loop_unwatch(&loop, ends[0]);
	close(ends[0]);
	g_assert_cmpint(write(ends[1], "x", 1), ==, 1);
	loop_timer_init(&timer, on_time, &loop);
	loop_timer_set(&loop, &timer, loop_now_us() + WAIT_US);
	loop_run(&loop);
	g_assert_false(told);
	close(copy);
	close(ends[1]);
	loop_clear(&loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loop/copy-lives-on", test_copy_lives_on);
	return g_test_run();
}
