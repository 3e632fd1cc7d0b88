#ifndef TESTS_CONTROL_GROUP_H
#define TESTS_CONTROL_GROUP_H

#include "control/control.h"

/**
 * Control VMs in one process: their reducers, links as seeds and LINK_OPEN
 * ask for, and disks that a crash, a loss of power or a wipe strikes. Time
 * goes by in steps; a message takes one step.
 */

#define GROUP_VMS 8
#define GROUP_STEP_US INT64_C(10000)

/** The VMs' wall clock at the start of time. */
#define GROUP_WALL_US INT64_C(1700000000000000)

struct group;

/** A call to the platform as it was sent. */
struct group_call {
	int vm;
	int64_t at_us;
	char order_id[96];
	char body[256];
	int64_t fence;
};

struct group *group_new(int n_vms, const int *seeds, int n_seeds,
			uint64_t seed);
void group_free(struct group *group);

/** Let time pass. */
void group_run(struct group *group, int64_t us);
int64_t group_now(const struct group *group);

/** Take a VM away; its disk stays. */
void group_kill(struct group *group, int vm);

/** The same for all VMs, and start all of them again. */
void group_kill_all(struct group *group);
void group_start_all(struct group *group);

/** The disk is lost as well. */
void group_wipe(struct group *group, int vm);

/** Start it (again); `name` NULL for the VM's own name and address. */
void group_start(struct group *group, int vm);

/** Cut or join the way between two VMs, both ways. */
void group_cut(struct group *group, int a, int b, bool cut);

/** Lines that a VM has logged with that text in them. */
int group_logged(const struct group *group, int vm, const char *text);

/** For VMs that are started after this; 3 s before. */
void group_set_lease(struct group *group, int64_t lease_us);

/** The same: longer documents are redirected to the leader; all by default. */
void group_set_forward(struct group *group, int64_t bytes);

/** What one VM sends another one is lost, and neither sees why. */
void group_mute(struct group *group, int from, int to, bool mute);

/** A message from one VM to another takes so much longer. */
void group_slow(struct group *group, int from, int to, int64_t us);

/** Bytes that one VM has sent another one so far. */
int64_t group_sent_bytes(const struct group *group, int from, int to);

/** It stands still; what is sent to it waits. */
void group_freeze(struct group *group, int vm, bool freeze);

/** Its disk fails from now on, as a full one does. */
void group_fail_disk(struct group *group, int vm);

struct control_view group_view(struct group *group, int vm);

/** The VM that leads, -1 for none or more than one. */
int group_leader(struct group *group);

/** Send a document; the call's number. */
uint64_t group_put(struct group *group, int vm, int64_t version);
uint64_t group_get(struct group *group, int vm);
/** The same with that text. */
uint64_t group_put_text(struct group *group, int vm, int64_t version,
			const struct bytes *text);

/** Evacuate a zone, or withdraw that; the call's number. */
uint64_t group_evacuate(struct group *group, int vm, const char *zone,
			bool evacuate);

/** Entry VMs are in these in turn, by id: "z1" to "z4". */
#define GROUP_ZONES 4

/** Revision of the evacuations that a VM has told the entry VM of last. */
int64_t group_told_evacuations(const struct group *group, int vm);

/** What an entry VM that asks for the document gets, empty for nothing. */
struct bytes group_fetch(struct group *group, int vm, bool packed);

/** The document that the entry VM was sent last, empty for none. */
struct bytes group_fetched(struct group *group, int vm);

/** The entry VM polls a VM; `marks`: it understands FEED_MARKS. */
void group_poll(struct group *group, int vm, bool marks);

/** Another entry VM, the nth, polls a VM. */
void group_poll_nth(struct group *group, int vm, int nth);

/** What a VM has sent entry VMs: bytes, and servers by name. */
int64_t group_entry_bytes(const struct group *group, int vm);
int group_entry_names(const struct group *group, int vm);

/** Messages from a VM to the entry VM, and servers that they told of. */
int group_entry_messages(const struct group *group, int vm);
int group_entry_servers(const struct group *group, int vm);

/** A server announces itself at a VM. */
void group_register(struct group *group, int vm, const char *id,
		    int64_t sequence);

/** The same with all that the server says. */
void group_announce(struct group *group, int vm,
		    const struct registration *told);

/** A server says goodbye at a VM. */
void group_unregister(struct group *group, int vm, const char *id);

/** How VMs read a document; by default as one without a version. */
typedef struct document *group_reader(void *data, const char *text, size_t len);

/** Reading the document in force takes so long; 0 before. */
void group_reading_takes(struct group *group, int64_t us);

/** Five VMs, the first three as seeds, that have a leader; `read` may be NULL. */
struct group *group_founded(group_reader *read);

/** The code of a call's answer, -1 while there is none. */
int group_code(struct group *group, uint64_t call);

/** The body of a call's answer, NULL while there is none. */
const char *group_body(struct group *group, uint64_t call);

/** An entry VM has seen requests begin in a window, and tells all VMs. */
void group_begun(struct group *group, int64_t window, int64_t requests);

/** The entry VM's links are down. */
void group_entry_down(struct group *group);

/** It was started anew, and has links to all VMs. */
void group_entry_restart(struct group *group);

/** What VMs send to entry VMs goes to `sink` instead. */
typedef void group_sink(void *data, int vm, const struct effect_send *send);
void group_set_sink(struct group *group, group_sink *sink, void *data);

/** An entry VM's link to a VM comes up or goes down. */
void group_entry_link(struct group *group, int vm, uint64_t entry,
		      const char *name, bool up);

/** A message of an entry VM to a VM, on LINK_FEED; lost if it stands still. */
void group_entry_message(struct group *group, int vm, uint64_t entry,
			 const struct bytes *body);

/** A number for each start of a VM, 0 while it doesn't run. */
uint64_t group_start_number(const struct group *group, int vm);

/** Calls to the platform so far. All are answered with `code`. */
const struct group_call *group_calls(const struct group *group, int *n);
void group_answer_calls(struct group *group, enum result code);

/** The wall clock of a VM is off by so much. */
void group_step_wall(struct group *group, int vm, int64_t us);

#endif
