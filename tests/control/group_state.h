#ifndef TESTS_CONTROL_GROUP_STATE_H
#define TESTS_CONTROL_GROUP_STATE_H

#include <glib.h>

#include "../agree/saved.h"
#include "group.h"

/** What the files group*.c share; nobody else includes this. */

struct vm {
	char name[32];
	char address[32];
	struct control *control;
	struct raft_persistent_state disk; /* all that was synced */
	uint64_t id;
	int64_t incarnation;
	int64_t wall_off_us;
	GPtrArray *log;
	int64_t tick_us;       /* when it is due */
	bool wants[GROUP_VMS]; /* a link to that VM was asked for */
	bool linked[GROUP_VMS];
	bool disk_fails;
	struct document *read; /* on its way to the VM, else NULL */
	int64_t read_version;
	int64_t read_us;      /* when it is there */
	struct bytes fetched; /* message to the entry VM */
	int64_t entry_bytes;  /* to the entry VM */
	int entry_names;      /* servers told it by name */
	int entry_messages;
	int entry_servers; /* registrations, each or in bundles */
	bool frozen;
	int64_t told_evacuations; /* revision that the entry VM was told */
};

/* A message or a synced write on its way. */
struct post {
	struct post *next;
	int to;
	int64_t at_us;
	uint64_t life; /* id and start of the receiver */
	struct event *event;
};

struct answer {
	uint64_t call;
	int code;
	char *body;
};

struct group {
	struct vm vms[GROUP_VMS];
	int n_vms;
	bool is_seed[GROUP_VMS];
	bool cut[GROUP_VMS][GROUP_VMS];
	bool mute[GROUP_VMS][GROUP_VMS];
	int64_t slow_us[GROUP_VMS][GROUP_VMS];
	int64_t sent_bytes[GROUP_VMS][GROUP_VMS];
	int64_t now_us;
	uint64_t next_id;
	uint64_t entry_id; /* of the entry VM that tells what it counts */
	uint64_t next_call;
	uint64_t seed;
	struct post *posts;
	GArray *answers;
	GArray *calls;
	enum result call_code;
	int64_t lease_us;
	int64_t forward_bytes_max;
	group_reader *read_document;
	int64_t reading_us;
	group_sink *sink;
	void *sink_data;
};

/** The entry VM; further ones have the ids behind. */
#define GROUP_ENTRY_ID 9999

/** Count what a VM sends the entry VM, and keep the document. */
void group_note_to_entry(struct vm *vm, const struct effect_send *send);

/** Carry out what a VM's reducer wants. */
void group_carry_out(struct group *group, int at, struct effects *effects);

/** Keep an operator's answer, and a call to the platform. */
void group_note_answer(struct group *group,
		       const struct effect_admin_answer *told);
void group_note_call(struct group *group, int vm,
		     const struct effect_platform_call *told);

#endif
