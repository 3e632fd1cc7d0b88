#ifndef FILBERTHALL_LOAD_WARMUP_H
#define FILBERTHALL_LOAD_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * Which requests a cold backend server gets.
 *
 * Load pattern: a server that has just started, or whose zone has just come
 * back, bears only some requests a second for a few seconds and crashes at
 * more. It is idle, so all VMs find it the best choice at the same moment, and
 * it becomes the home of shared prefixes that hundreds of requests a second
 * may have. The bound is on the sum over all VMs, which decide without each
 * other.
 *
 * So a cold server gets nothing while a warm one has room. Without any, as
 * after the loss of a whole pool, each cold server is given to few VMs in each
 * second, chosen by a hash of VM, server and second: together they have
 * WARMUP_SHARE of the bound. Nothing is handed out, so a VM that is cut off or
 * hears late keeps within its part as well.
 */

/**
 * Part of the bound that is used. In any second the parts of two seconds of a
 * VM's clock may be sent, and how many VMs are chosen varies.
 */
#define WARMUP_SHARE 0.25

/** This VM among those that decide. */
struct warmup_vm {
	uint64_t self;
	int vms; /**< in all; 0 if unknown, which gives no part */
};

/** Whether a server is cold, where its service bounds what cold ones get. */
bool warmup_is_cold(const struct backend *backend, int64_t now_us);

/** Requests that the VM may send the cold server in the present second. */
int warmup_quota(const struct backend *backend, const struct warmup_vm *vm,
		 int64_t now_us);

/** Whether one more is within that. */
bool warmup_allows(const struct backend *backend, const struct warmup_vm *vm,
		   int64_t now_us);

/** A request was sent to the server. */
void warmup_record(struct backend *backend, int64_t now_us);

#endif
