#include "load/server_limit.h"

#include <math.h>

#define SECOND_US INT64_C(1000000)

/* Seconds by which the shared clock steps back only if it was wrong before. */
#define CLOCK_STEP_S 5

/* Successive multiples of it are spread evenly over 0..1. */
#define GOLDEN_RATIO 0.6180339887498949

static int64_t shared_second(const struct server_limit_vm *vm, int64_t now_us)
{
	return (now_us + vm->clock_offset_us) / SECOND_US;
}

static double limit_per_s(const struct backend *backend)
{
	return fmax(backend->limit_per_s, SERVER_LIMIT_LEAST_PER_S);
}

/* Requests of the second, of all VMs together. */
static int64_t requests_of(double per_s, int64_t second)
{
	return (int64_t)(floor(per_s * (double)(second + 1)) -
			 floor(per_s * (double)second));
}

/* Where the second's requests are dealt from, 0..1. */
static double turn_of(const struct backend *backend, int64_t second)
{
	double from = (double)(backend->node.hash % 1024) / 1024;

	return fmod(from + GOLDEN_RATIO * (double)second, 1);
}

void server_limit_equal(struct server_limit_vm *vm, int64_t number, int64_t vms)
{
	vm->begin = vms > 0 ? (double)number / (double)vms : 0;
	vm->end = vms > 0 ? (double)(number + 1) / (double)vms : 0;
}

/* Request i has its place at (i + turn) / requests; each VM has an interval. */
int64_t server_limit_part(const struct backend *backend,
			  const struct server_limit_vm *vm, int64_t now_us)
{
	int64_t second = shared_second(vm, now_us);
	double requests;
	double turn;

	requests = (double)requests_of(limit_per_s(backend), second);
	turn = turn_of(backend, second);
	return (int64_t)(ceil(requests * vm->end - turn) -
			 ceil(requests * vm->begin - turn));
}

/* The clock may step back a little; what was sent isn't forgotten then. */
static int64_t sent_in(const struct backend *backend, int64_t second)
{
	int64_t ahead = backend->limit_second - second;

	return ahead >= 0 && ahead < CLOCK_STEP_S ? backend->limit_sent : 0;
}

bool server_limit_allows(const struct backend *backend,
			 const struct server_limit_vm *vm, int64_t now_us)
{
	return !backend->limited ||
	       sent_in(backend, shared_second(vm, now_us)) <
		       server_limit_part(backend, vm, now_us);
}

void server_limit_record(struct backend *backend,
			 const struct server_limit_vm *vm, int64_t now_us)
{
	int64_t second = shared_second(vm, now_us);

	if (!sent_in(backend, second)) {
		backend->limit_second = second;
		backend->limit_sent = 0;
	}
	backend->limit_sent++;
}

double server_limit_slots(const struct backend *backend, double hold_us)
{
	double slots = (double)backend->slots;

	if (!backend->limited)
		return slots;
	return fmin(slots, limit_per_s(backend) * hold_us / 1e6);
}
