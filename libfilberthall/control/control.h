#ifndef FILBERTHALL_CONTROL_CONTROL_H
#define FILBERTHALL_CONTROL_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "agree/raft.h"
#include "base/bytes.h"
#include "core/effect.h"
#include "core/event.h"
#include "document/document.h"
#include "fleet/registry.h"

/**
 * The reducer of a control VM: agrees with the others on the document in
 * force and on usage windows, receives registrations of backend servers, informs the entry VMs, and
 * while it is in charge reports usage.
 *
 * It reads no clock and no socket. What is to be done is appended to
 * `effects`: SEND, LINK_OPEN, LINK_CLOSE, the LOG_ and SNAPSHOT writes,
 * ADMIN_ANSWER (an operator's call is over), READ_DOCUMENT, PLATFORM_CALL,
 * LOG, EXIT.
 *
 * ADMIN_ANSWER's codes: OK with the document as body for a read; NOT_LEADER
 * with the address of the leader's links as body, empty if none is known;
 * NO_QUORUM if nothing can be promised now.
 */
struct control;

struct control_options {
	uint64_t self;	     /**< member id */
	int64_t incarnation; /**< number of this start */
	uint64_t seed;
	const char *vm;
	const char *zone;
	const char *address;	 /**< IP:port of its links */
	bool found;		 /**< found the group if the folder is empty */
	int voters;		 /**< wanted, odd */
	int tolerate;		 /**< disks that may be lost at once */
	int64_t lease_us;	 /**< length of the lease to give orders */
	int64_t election_us;	 /**< silence of a leader before another one is
				  elected, also after a start */
	int64_t window_us;	 /**< length of a usage window */
	int64_t due_us;		 /**< its report is due so long after its end */
	int64_t beat_us;	 /**< servers announce themselves so often */
	int64_t retry_window_us; /**< of the limit on entry VMs' retries */
	bool report;		 /**< there is a platform that takes reports */
	int64_t forward_bytes_max; /**< longer documents are redirected to the
				    leader, shorter ones forwarded */
};

/**
 * @param saved	what the data folder holds
 * @return RESULT_OK, or RESULT_LOG_DAMAGED if that makes no sense
 */
enum result control_new(struct control **control,
			const struct control_options *options,
			const struct raft_persistent_state *saved,
			int64_t now_us, struct effects *effects);
void control_free(struct control *control);

/** Let time pass; at control_next_tick() at the latest. */
void control_tick(struct control *control, int64_t wall_us, int64_t now_us,
		  struct effects *effects);
int64_t control_next_tick(const struct control *control, int64_t now_us);

void control_link_up(struct control *control, const struct event_link_up *up,
		     int64_t now_us, struct effects *effects);
void control_link_down(struct control *control, uint64_t peer, int64_t now_us,
		       struct effects *effects);
void control_link_message(struct control *control,
			  const struct event_link_message *message,
			  int64_t now_us, struct effects *effects);

/** Writes of the log are on the disk, or will never be. */
void control_synced(struct control *control, int64_t ticket, int64_t now_us,
		    struct effects *effects);
void control_disk_failed(struct control *control, enum result code,
			 int64_t now_us, struct effects *effects);

/**
 * An operator sends a document.
 *
 * @param document	read and checked; taken over
 * @param text		as it came
 */
void control_put_document(struct control *control, uint64_t call,
			  struct document *document, const struct bytes *text,
			  int64_t now_us, struct effects *effects);

/** A READ_DOCUMENT is over; `document` is taken over, NULL if unreadable. */
void control_document_read(struct control *control, int64_t version,
			   struct document *document, int64_t now_us,
			   struct effects *effects);

/** An operator reads the document in force. */
void control_get_document(struct control *control, uint64_t call,
			  int64_t now_us, struct effects *effects);

/**
 * An operator orders that nothing more is sent to a zone's backend servers, or
 * withdraws that. Acknowledged once no loss that is to be borne can undo it.
 *
 * @param zone	shorter than BACKEND_NAME_SIZE
 */
void control_evacuate(struct control *control, uint64_t call, const char *zone,
		      bool evacuate, int64_t now_us, struct effects *effects);

/**
 * A backend server registers; changes are sent to the entry VMs at once.
 * Returns RESULT_OK, or RESULT_NO_MEMORY if there are too many servers.
 */
enum result control_register(struct control *control,
			     const struct registration *told, int64_t now_us,
			     struct effects *effects);

/** A backend server unregisters. */
void control_unregister(struct control *control, const char *id, int64_t now_us,
			struct effects *effects);

/** A PLATFORM_CALL is over. */
void control_platform_answer(struct control *control, const char *order_id,
			     enum result code, int64_t now_us,
			     struct effects *effects);

/** A planned stop: hand leadership over, then EXIT. */
void control_stop(struct control *control, int64_t now_us,
		  struct effects *effects);

/** For metrics and status. */
struct control_view {
	bool leader;
	bool in_charge;
	int64_t term;
	int64_t commit;
	int64_t version;
	int voters;
	int members;
	int entry_vms;
	int servers;
	int64_t reported; /**< usage windows that the platform has taken */
	int64_t lists;	  /**< of all servers, made for entry VMs that came */
	int evacuated;	  /**< zones */
	int64_t evacuation_changes; /**< in all */
};
struct control_view control_view(const struct control *control, int64_t now_us);

#endif
