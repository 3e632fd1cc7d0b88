#include "platform.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "daemon/http/http_server.h"
#include "ledger.h"
#include "platform/names.h"
#include "vm.h"

#define HOST 250
#define HOLDERS 4

struct holder {
	char name[32];
	int64_t at_us; /* its last call */
};

struct platform {
	struct soak *soak;
	struct http_server *http;
	GHashTable *windows; /* window number to its report */
	int64_t fence;	     /* highest seen */
	struct holder
		holders[HOLDERS]; /* those that called last, newest first */
};

static const struct vm *vm_named(const struct soak *soak, const char *name)
{
	int i;

	for (i = 0; i < SOAK_VMS; i++)
		if (!strcmp(soak->vms[i]->name, name))
			return soak->vms[i];
	return NULL;
}

/* Whether it was woken just now: what it had begun may still come. */
static bool just_woken(const struct platform *platform, const char *giver)
{
	const struct vm *vm = vm_named(platform->soak, giver);

	return vm && edge_now_us() - vm->woken_us < SOAK_THAW_US;
}

/* A, then B, then A again within a lease: two believed to be in charge. */
static void check_holder(struct platform *platform, const char *giver)
{
	struct holder *holders = platform->holders;
	int64_t now_us = edge_now_us();
	int i;

	if (strcmp(holders[0].name, giver) != 0) {
		for (i = 1; i < HOLDERS; i++)
			if (!strcmp(holders[i].name, giver) &&
			    now_us - holders[i].at_us < SOAK_LEASE_US &&
			    !just_woken(platform, giver))
				soak_violation(platform->soak, "one",
					       "%s reports again after %s",
					       giver, holders[0].name);
		memmove(&holders[1], &holders[0],
			(HOLDERS - 1) * sizeof(*holders));
	}
	g_strlcpy(holders[0].name, giver, sizeof(holders[0].name));
	holders[0].at_us = now_us;
}

static void check_window(struct platform *platform, const struct bytes *body)
{
	char *text = xmemdup(body->data ? body->data : "", body->len);
	const char *found = strstr(text, "\"window_id\":");
	gint64 window =
		found ? g_ascii_strtoll(found + strlen("\"window_id\":"), NULL,
					10)
		      : -1;
	const char *before = g_hash_table_lookup(platform->windows, &window);

	if (before && strcmp(before, text) != 0)
		soak_violation(platform->soak, "one",
			       "window %" PRId64 " has two figures", window);
	if (!before)
		g_hash_table_insert(platform->windows,
				    g_memdup2(&window, sizeof(window)),
				    g_strdup(text));
	free(text);
}

static void on_request(void *data, struct http_exchange *exchange)
{
	struct platform *platform = data;
	const struct http_head *head = http_exchange_head(exchange);
	const char *giver = http_head_get(head, HEADER_GIVER);
	const char *fence_text = http_head_get(head, HEADER_FENCE);
	int64_t fence = fence_text ? strtoll(fence_text, NULL, 10) : -1;

	if (!giver || fence < 0) {
		soak_violation(platform->soak, "one",
			       "a call without a holder");
	} else {
		if (fence < platform->fence && !just_woken(platform, giver))
			soak_violation(platform->soak, "one",
				       "%s calls with %" PRId64
				       " after %" PRId64,
				       giver, fence, platform->fence);
		if (fence > platform->fence)
			platform->fence = fence;
		check_holder(platform, giver);
		check_window(platform, http_exchange_body(exchange));
	}
	http_exchange_answer(exchange, 200, NULL, NULL);
}

static void report(void *data, enum result code, const char *message)
{
	fprintf(stderr, "soak: %s\n", message);
}

struct platform *platform_new(struct soak *soak)
{
	struct error_handler handler = { report, NULL };
	struct http_limits limits = { 65536, 1048576, 5000, 15000 };
	struct http_server_hooks hooks = { on_request, NULL, NULL };
	struct platform *platform = xcalloc(1, sizeof(*platform));
	char *address = soak_address(soak, HOST, soak->port_operators);

	platform->soak = soak;
	platform->windows = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	hooks.data = platform;
	platform->http = http_server_start(&soak->loop, address, &limits,
					   &hooks, &handler);
	if (!platform->http)
		exit(EXIT_FAILURE);
	free(address);
	return platform;
}

void platform_free(struct platform *platform)
{
	http_server_stop(platform->http);
	g_hash_table_destroy(platform->windows);
	free(platform);
}

int platform_windows(const struct platform *platform)
{
	return (int)g_hash_table_size(platform->windows);
}
