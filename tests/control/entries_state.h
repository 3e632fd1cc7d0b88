#ifndef TESTS_CONTROL_ENTRIES_STATE_H
#define TESTS_CONTROL_ENTRIES_STATE_H

#include "entries.h"

/** What the files entries*.c share; nobody else includes this. */

#define ENTRIES_CONTROL_VMS 5

struct entries_vm {
	struct entry *entry;
	char name[32];
	uint64_t id;
	uint64_t linked
		[ENTRIES_CONTROL_VMS]; /* start number of the VM, 0: none */
	bool cut[ENTRIES_CONTROL_VMS];
	bool isolated;		/* from the other entry VMs */
	enum entries_path path; /* to all servers */
	int asked;
	int served;
	int64_t slow_us;
	int64_t slow_news_us;
	int64_t offset_us; /* of its clock from the group's */
	int64_t frozen_us; /* since when it stands still; 0: it runs */
};

/* A request at a server. */
struct run {
	int vm;
	uint64_t entry; /* id of the VM's process */
	int server;
	uint64_t id;
	int64_t attempt;
	int64_t ends_us;
	enum result code;
	bool crashes;
	bool connects;		       /* the connection is to be told of */
	bool probes;		       /* and is all that there is */
	struct entries_stream *stream; /* or NULL */
	int next;		       /* event of it */
	int sent;		       /* events of this run */
	char version[16];	       /* that runs it */
	bool cancelled;
	bool breaks;	  /* its answer, at its end */
	bool waits;	  /* for a slot */
	int urgency;	  /* that the server was told; 0 is the most urgent */
	int64_t began_us; /* when it got a slot */
	int64_t work_us;  /* that it then took to run it; 0: not known */
	int64_t prompt_tokens;
	int64_t output_tokens;
	int kind;		/* tier of its route */
	int64_t leaves_us;	/* when its caller does; 0: never */
	int64_t started_ms;	/* of the server's start */
	bool leaving;		/* as the answer says */
	int64_t retry_after_us; /* that the server asks for as it rejects it */
};

/* A request that one VM passes on to another one. */
struct pass {
	int from;
	uint64_t from_entry; /* ids of the VMs' processes */
	uint64_t id;
	int64_t attempt;
	int to;
	uint64_t to_entry;
	uint64_t to_id; /* 0: on its way */
	bool ended;
	enum result code;
	bool sent;
};

/* A link between two entry VMs, the first of which has opened it. */
struct neighbour_link {
	int vms[2];
	uint64_t entries[2];
	bool up;
};

/* A message from one entry VM to another one. */
struct mail {
	uint64_t from;
	uint64_t to;
	int64_t at_us;
	struct bytes body;
};

/* A message from a control VM. */
struct letter {
	int vm;
	uint64_t entry;
	int from;
	int64_t at_us;
	struct bytes body;
};

/* entries.c */
int64_t entries_vm_now(const struct entries *entries, int at);
void entries_carry_out(struct entries *entries, int at,
		       struct effects *effects);
uint64_t entries_new_id(struct entries *entries, bool crashing);

/** A request's number is the VM's own; its body is part of it. */
bool entries_is_crashing(uint64_t request);
void entries_submit_plain(struct entries *entries, int vm, uint64_t id,
			  const char *body, bool passed_on);

/* entries_asks.c */
struct entries_asked *entries_find_asked(const struct entries *entries,
					 uint64_t id);
void entries_take_slot(struct entries *entries, struct run *run);
void entries_wait_for_slot(struct entries *entries, struct run *run);

/** The request has reached its server. */
void entries_note_arrival(struct entries *entries, const struct run *run);

/** A slot is free: for the most urgent one that waits, the first of these. */
void entries_fill_slots(struct entries *entries, int server);

/* entries_memory.c */

/** What the request needs of a server's memory. */
void entries_size(const struct entries *entries, struct run *run);

/** The most urgent that wait get a slot; servers out of memory preempt. */
void entries_preempt(struct entries *entries);

/* entries_pass.c */
void entries_start_pass(struct entries *entries, int from,
			const struct effect_start_attempt *start);

/** Whether the request came from another VM, which gets the answer. */
bool entries_take_pass_answer(struct entries *entries, int at,
			      const struct effect_answer *answer);
void entries_carry_passes(struct entries *entries);

/* entries_neighbour.c */
void entries_open_neighbour(struct entries *entries, int at, uint64_t to);
void entries_close_neighbour(struct entries *entries, int at, uint64_t to);
void entries_mail_neighbour(struct entries *entries, int at,
			    const struct effect_send *send);

/** Links come up, go down with a process or a cut; messages arrive. */
void entries_carry_neighbours(struct entries *entries);
void entries_free_neighbours(struct entries *entries);

/* entries_post.c */
void entries_take_letter(void *data, int from, const struct effect_send *send);
void entries_deliver(struct entries *entries);
void entries_send_news(struct entries *entries, int at,
		       const struct effect_send *send);
void entries_deliver_news(struct entries *entries);

#endif
