#include "load/warmup.h"

#include <math.h>

#define SECOND_US INT64_C(1000000)

bool warmup_is_cold(const struct backend *backend, int64_t now_us)
{
	return backend->cold_per_s > 0 && now_us < backend->cold_until_us;
}

/* Pseudorandom from 0 to 1, a function of VM, server and second. */
static double draw(const struct backend *backend, const struct warmup_vm *vm,
		   int64_t second)
{
	uint64_t key[3] = { vm->self, backend->node.hash, (uint64_t)second };

	return (double)map_hash(key, sizeof(key)) / (double)UINT64_MAX;
}

int warmup_quota(const struct backend *backend, const struct warmup_vm *vm,
		 int64_t now_us)
{
	double part;

	if (vm->vms <= 0)
		return 0;
	part = WARMUP_SHARE * backend->cold_per_s / vm->vms;
	return (int)floor(part + draw(backend, vm, now_us / SECOND_US));
}

bool warmup_allows(const struct backend *backend, const struct warmup_vm *vm,
		   int64_t now_us)
{
	int64_t sent = backend->cold_second == now_us / SECOND_US
			       ? backend->cold_sent
			       : 0;

	return sent < warmup_quota(backend, vm, now_us);
}

void warmup_record(struct backend *backend, int64_t now_us)
{
	int64_t second = now_us / SECOND_US;

	if (backend->cold_second != second)
		backend->cold_sent = 0;
	backend->cold_second = second;
	backend->cold_sent++;
}
