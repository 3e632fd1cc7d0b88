#include "faults.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/alloc.h"
#include "proxy.h"
#include "server.h"
#include "vm.h"

#define STORM_US (5 * SOAK_SECOND)
/* For what was lost to be made up for, and promises to hold for a while. */
#define REST_US (14 * SOAK_SECOND)
/* The last of a calm has no planned work that could reach into a storm. */
#define QUIET_US (2 * SOAK_SECOND)
#define PAUSE_MOST_MS 600
#define PLAN_MOST_MS 2500
#define LASTS_MOST_MS 3000
/* Longer than links between VMs of a region take, shorter than an election. */
#define SLOW_MS 40
/* Of a sick server's answers. */
#define SICK_SHARE 0.5
/* Longer than a withdrawn key may work where nobody tells of it. */
#define CUT_LEAST_MS 4000
#define CUT_MORE_MS 5000
#define WITHDRAWN_MS (SOAK_WITHDRAWN_US / SOAK_MS)
#define WIPES_MOST 2
#define HOLDS_MOST 8

enum kind {
	KILL_CONTROL,
	KILL_ENTRY,
	KILL_ALL_CONTROL,
	KILL_ALL,
	PAUSE_CONTROL,
	PAUSE_ENTRY,
	PAUSE_ENTRY_LONG, /* beyond the time in which keys are withdrawn */
	WIPE_CONTROL,
	FULL_DISK,
	STOP_IN_STORM,
	CUT_LINKS,
	CUT_OFF_CONTROL,
	CUT_OFF_ENTRY,
	CUT_ONE_WAY,
	SLOW_LINKS,
	FORGET_LINKS,
	RESET_LINKS,
	CUT_OPERATORS,
	FORGET_CALLERS,
	RESET_CALLERS,
	CRASH_SERVER,
	SICK_SERVER,
	CUT_SERVER,
	FORGET_SERVER,
	REFUSE_SERVER,
	KINDS
};

static const char *const names[KINDS] = {
	"kill-control",	 "kill-entry",	  "kill-all-control", "kill-all",
	"pause-control", "pause-entry",	  "pause-entry-long", "wipe",
	"full-disk",	 "stop",	  "cut-links",	      "cut-off-control",
	"cut-off-entry", "one-way",	  "slow-links",	      "forget-links",
	"reset-links",	 "cut-operators", "forget-callers",   "reset-callers",
	"crash-server",	 "sick-server",	  "cut-server",	      "forget-server",
	"refuse-server",
};

/* A fault that holds until its timer ends it. */
struct hold {
	struct faults *faults;
	ev_timer timer;
	enum kind kind;
	int target;
	bool active;
};

struct faults {
	struct soak *soak;
	struct rng rng; /* of its own: what strikes follows from the seed */
	ev_timer next;
	struct hold holds[HOLDS_MOST];
	int64_t phase_us; /* when the storm or the calm began */
	bool storm;
	int storms_left;
	int wipes;
	bool over;
	int struck[KINDS];
};

static bool is_cut_off(enum kind kind)
{
	return kind == CUT_OFF_CONTROL || kind == CUT_OFF_ENTRY;
}

static int pick(struct faults *faults, int n)
{
	return (int)rng_below(&faults->rng, (uint64_t)n);
}

static struct vm *control(struct faults *faults, int i)
{
	return faults->soak->vms[i % SOAK_CONTROLS];
}

static struct vm *entry(struct faults *faults, int i)
{
	return faults->soak->vms[SOAK_CONTROLS + i % SOAK_ENTRIES];
}

static struct server *server(struct faults *faults, int i)
{
	return faults->soak->servers[i % SOAK_SERVERS];
}

static void kill_all(struct faults *faults, int n, int64_t down_ms)
{
	int i;

	for (i = 0; i < n; i++)
		vm_kill(faults->soak->vms[i], down_ms + pick(faults, 100));
}

/* What strikes at once; false if the kind lasts. */
static bool strike_once(struct faults *faults, enum kind kind, int at)
{
	int64_t ms = 100 + pick(faults, LASTS_MOST_MS);

	switch (kind) {
	case KILL_CONTROL:
		vm_kill(control(faults, at), ms / 4);
		return true;
	case KILL_ENTRY:
		vm_kill(entry(faults, at), ms / 4);
		return true;
	case KILL_ALL_CONTROL:
		kill_all(faults, SOAK_CONTROLS, ms / 4);
		return true;
	case KILL_ALL:
		kill_all(faults, SOAK_VMS, ms / 4);
		return true;
	case PAUSE_CONTROL:
		vm_pause(control(faults, at), ms);
		return true;
	case PAUSE_ENTRY:
		vm_pause(entry(faults, at), ms);
		return true;
	case PAUSE_ENTRY_LONG:
		vm_pause(entry(faults, at), WITHDRAWN_MS + ms / 2);
		return true;
	case WIPE_CONTROL:
		if (faults->wipes++ < WIPES_MOST)
			vm_wipe(control(faults, at), ms / 4);
		return true;
	case FULL_DISK:
		vm_fill_disk(control(faults, at), ms);
		return true;
	case STOP_IN_STORM:
		vm_stop(faults->soak->vms[at % SOAK_VMS]);
		return true;
	case FORGET_LINKS:
		proxy_forget(control(faults, at)->links);
		return true;
	case RESET_LINKS:
		proxy_reset(control(faults, at)->links);
		return true;
	case FORGET_CALLERS:
		proxy_forget(entry(faults, at)->callers);
		return true;
	case RESET_CALLERS:
		proxy_reset(entry(faults, at)->callers);
		return true;
	case CRASH_SERVER:
		server_crash(server(faults, at), ms);
		return true;
	case FORGET_SERVER:
		proxy_forget(server_proxy(server(faults, at)));
		return true;
	default:
		return false;
	}
}

/* A VM from all control VMs, both ways. */
static void cut_off(struct faults *faults, int vm, bool on)
{
	struct soak *soak = faults->soak;
	int i;

	soak->cut_off[vm] = on;
	if (soak->vms[vm]->links) {
		proxy_hold(soak->vms[vm]->links, PROXY_IN, on);
		proxy_hold(soak->vms[vm]->links, PROXY_OUT, on);
	}
	for (i = 0; i < SOAK_CONTROLS && !on; i++)
		proxy_resume(soak->vms[i]->links);
}

static void set_lasting(struct faults *faults, const struct hold *hold, bool on)
{
	struct proxy *links = control(faults, hold->target)->links;
	struct proxy *operators = control(faults, hold->target)->operators;
	struct server *sick = server(faults, hold->target);

	switch (hold->kind) {
	case CUT_LINKS:
		proxy_hold(links, PROXY_IN, on);
		proxy_hold(links, PROXY_OUT, on);
		break;
	case CUT_OFF_CONTROL:
		cut_off(faults, hold->target % SOAK_CONTROLS, on);
		break;
	case CUT_OFF_ENTRY:
		cut_off(faults, SOAK_CONTROLS + hold->target % SOAK_ENTRIES,
			on);
		break;
	case CUT_ONE_WAY:
		proxy_hold(links, hold->target % 2 ? PROXY_IN : PROXY_OUT, on);
		break;
	case SLOW_LINKS:
		proxy_delay(links, on ? SLOW_MS : 0);
		break;
	case CUT_OPERATORS:
		proxy_hold(operators, PROXY_OUT, on);
		break;
	case SICK_SERVER:
		server_misbehave(sick,
				 on ? (enum server_fault)(
					      1 + hold->target %
							  (SERVER_FAULTS - 1))
				    : SERVER_WELL,
				 SICK_SHARE);
		break;
	case CUT_SERVER:
		proxy_hold(server_proxy(sick), PROXY_OUT, on);
		break;
	case REFUSE_SERVER:
		proxy_refuse(server_proxy(sick), on);
		break;
	default:
		break;
	}
}

static void end_hold(struct hold *hold)
{
	if (!hold->active)
		return;
	hold->active = false;
	ev_timer_stop(hold->faults->soak->ev, &hold->timer);
	set_lasting(hold->faults, hold, false);
	hold->faults->soak->faults--;
	hold->faults->soak->rough_us = edge_now_us();
}

static void on_hold_over(struct ev_loop *ev, ev_timer *timer, int events)
{
	end_hold(timer->data);
}

static void strike_lasting(struct faults *faults, enum kind kind, int at)
{
	struct hold *hold = NULL;
	int64_t lasts_ms;
	int i;

	for (i = 0; i < HOLDS_MOST && !hold; i++)
		if (!faults->holds[i].active)
			hold = &faults->holds[i];
	if (!hold)
		return;
	hold->faults = faults;
	hold->kind = kind;
	hold->target = at;
	hold->active = true;
	faults->soak->faults++;
	set_lasting(faults, hold, true);
	lasts_ms = is_cut_off(kind) ? CUT_LEAST_MS + pick(faults, CUT_MORE_MS)
				    : 200 + pick(faults, LASTS_MOST_MS);
	soak_timer(faults->soak, &hold->timer, on_hold_over, lasts_ms, hold);
}

static void strike(struct faults *faults)
{
	enum kind kind = (enum kind)pick(faults, KINDS);
	int at = pick(faults, 1000);

	faults->struck[kind]++;
	faults->soak->rough_us = edge_now_us();
	soak_say(faults->soak, "%s %d", names[kind], at);
	if (!strike_once(faults, kind, at))
		strike_lasting(faults, kind, at);
}

/* Planned work: nothing that is promised may suffer from it. */
static void plan(struct faults *faults)
{
	int at = pick(faults, 1000);

	soak_say(faults->soak, "planned %d", at);
	switch (at % 4) {
	case 0:
		vm_stop(entry(faults, at));
		break;
	case 1:
		vm_stop(control(faults, at));
		break;
	case 2:
		server_leave(server(faults, at));
		break;
	default:
		vm_hang_up(faults->soak->vms[at % SOAK_VMS]);
		break;
	}
}

static void begin_phase(struct faults *faults, bool storm)
{
	int i;

	faults->storm = storm;
	faults->phase_us = edge_now_us();
	faults->wipes = 0;
	if (storm)
		faults->storms_left--;
	/* A long cut goes on for a while. */
	for (i = 0; i < HOLDS_MOST && !storm; i++)
		if (!is_cut_off(faults->holds[i].kind))
			end_hold(&faults->holds[i]);
	faults->over = !storm && !faults->storms_left;
	soak_say(faults->soak, "%s", storm ? "storm" : "calm");
}

static void on_next(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct faults *faults = timer->data;
	int64_t since_us = edge_now_us() - faults->phase_us;
	int64_t wait_ms;

	if (since_us > (faults->storm ? STORM_US : REST_US) && !faults->over)
		begin_phase(faults, !faults->storm);
	else if (faults->storm)
		strike(faults);
	else if (since_us > SOAK_CALM_US && since_us < REST_US - QUIET_US &&
		 !faults->over)
		plan(faults);
	wait_ms =
		20 + pick(faults, faults->storm ? PAUSE_MOST_MS : PLAN_MOST_MS);
	soak_timer(faults->soak, &faults->next, on_next, wait_ms, faults);
}

struct faults *faults_new(struct soak *soak, int storms)
{
	struct faults *faults = xcalloc(1, sizeof(*faults));

	faults->soak = soak;
	faults->rng.state = soak->seed;
	faults->storms_left = storms;
	faults->phase_us = edge_now_us() - REST_US / 2;
	soak_timer(soak, &faults->next, on_next, 100, faults);
	return faults;
}

void faults_free(struct faults *faults)
{
	int i;

	for (i = 0; i < HOLDS_MOST; i++)
		ev_timer_stop(faults->soak->ev, &faults->holds[i].timer);
	ev_timer_stop(faults->soak->ev, &faults->next);
	free(faults);
}

bool faults_over(const struct faults *faults)
{
	return faults->over;
}

void faults_print(const struct faults *faults)
{
	int kind;

	printf("# struck:");
	for (kind = 0; kind < KINDS; kind++)
		if (faults->struck[kind])
			printf(" %s=%d", names[kind], faults->struck[kind]);
	printf("\n");
}
