#include "usage/roster.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

struct roster_vm {
	struct list node;
	char *name;
	uint64_t id;
	bool linked;
	int64_t since_us; /* when the link came up or went down */
};

void roster_init(struct roster *roster)
{
	list_init(&roster->vms);
}

static void vm_free(struct roster_vm *vm)
{
	list_remove(&vm->node);
	free(vm->name);
	free(vm);
}

void roster_clear(struct roster *roster)
{
	struct roster_vm *vm;
	struct roster_vm *next;

	list_foreach_safe(vm, next, &roster->vms, node)
		vm_free(vm);
}

static struct roster_vm *vm_of(struct roster *roster, const char *name)
{
	struct roster_vm *vm;

	list_foreach(vm, &roster->vms, node)
		if (!strcmp(vm->name, name))
			return vm;
	vm = xcalloc(1, sizeof(*vm));
	vm->name = xstrdup(name);
	list_append(&roster->vms, &vm->node);
	return vm;
}

void roster_up(struct roster *roster, const char *name, uint64_t id,
	       int64_t now_us)
{
	struct roster_vm *vm = vm_of(roster, name);

	if (vm->linked && vm->id == id)
		return;
	vm->id = id;
	vm->linked = true;
	vm->since_us = now_us;
}

void roster_down(struct roster *roster, uint64_t id, int64_t now_us)
{
	struct roster_vm *vm;

	list_foreach(vm, &roster->vms, node) {
		if (vm->id != id || !vm->linked)
			continue;
		vm->linked = false;
		vm->since_us = now_us;
	}
}

int roster_seen(const struct roster *roster, int64_t within_us, int64_t now_us)
{
	struct roster_vm *vm;
	int seen = 0;

	list_foreach(vm, &roster->vms, node)
		seen += vm->linked || now_us - vm->since_us < within_us;
	return seen;
}

int roster_awaited(struct roster *roster, int64_t now_us)
{
	struct roster_vm *vm;
	struct roster_vm *next;
	int awaited = 0;

	list_foreach_safe(vm, next, &roster->vms, node) {
		int64_t for_us = now_us - vm->since_us;

		if (!vm->linked && for_us >= ROSTER_KEPT_US)
			vm_free(vm);
		else if (!vm->linked || for_us < ROSTER_TELLS_US)
			awaited++;
	}
	return awaited;
}
