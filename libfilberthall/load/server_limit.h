#ifndef FILBERTHALL_LOAD_SERVER_LIMIT_H
#define FILBERTHALL_LOAD_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * Which requests a backend server gets that named a limit: requests a second
 * that it takes from all VMs together.
 *
 * Load pattern: a server in need is still a good choice by its load, so each of
 * many VMs goes on sending to it. If each VM kept to the limit by itself, a
 * hundred VMs would send a hundred times as much; if they had to agree first, a
 * VM that is cut off or hears late could not send at all, or would exceed it.
 *
 * So the requests of each second of the clock that the VMs share are dealt out
 * by a function of the server, the second and a VM's interval among the VMs.
 * The parts of all VMs add up to the limit, and which VMs have one changes from
 * second to second. What isn't used is lost. Control VMs make the intervals
 * larger for VMs that lately got more requests; without news the VMs have equal
 * ones, by their numbers.
 *
 * A request for which the server has no room goes to another server, as if this
 * one were full; requests wait only if that holds for all.
 */

/** A lower limit counts as this: someone must hear that it has ended. */
#define SERVER_LIMIT_LEAST_PER_S 0.1

/** This VM among those that send, and the clock that they share. */
struct server_limit_vm {
	double begin;		 /**< of its interval of 0..1 */
	double end;		 /**< the same as `begin` gives no part */
	int64_t clock_offset_us; /**< shared clock less this VM's */
	bool clock_known;	 /**< else nothing is recorded by that clock */
};

/** The interval of one of `vms` VMs with equal ones; none if `vms` is 0. */
void server_limit_equal(struct server_limit_vm *vm, int64_t number,
			int64_t vms);

/** Requests that the VM may send the server in the present second. */
int64_t server_limit_part(const struct backend *backend,
			  const struct server_limit_vm *vm, int64_t now_us);

/** Whether one more is within that; true for a server without a limit. */
bool server_limit_allows(const struct backend *backend,
			 const struct server_limit_vm *vm, int64_t now_us);

/** A request is sent to the server. */
void server_limit_record(struct backend *backend,
			 const struct server_limit_vm *vm, int64_t now_us);

/**
 * Slots of the server that can be in use at that rate if a request holds one
 * for `hold_us`; all of them without a limit.
 */
double server_limit_slots(const struct backend *backend, double hold_us);

#endif
