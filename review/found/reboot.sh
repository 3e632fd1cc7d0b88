#!/bin/sh
# A voter whose machine has started again counts its state as fresh for as long
# as the machine had been up before. Exits with 1 if that is so. Not a case:
# CLOCK_BOOTTIME can't be made to start anew by a script or on the bench.
program=reboot
. "$(dirname "$0")/compile.sh" <<'END'
#include <stdio.h>

#include "raft_bed.h"

#define UP_BEFORE_S (100LL * 86400)

/* The clock that a leader echoes in its first append over a new link. */
static int64_t first_echo_us(void)
{
	struct raft_message reply = { .kind = RAFT_APPEND_REPLY,
				      .term = 3,
				      .match = 3,
				      .received = 3,
				      .sent_us = UP_BEFORE_S * SECOND };
	struct raft_message sent;
	struct effects effects;
	struct raft *raft;

	effects_init(&effects);
	raft = bed_elected(RAFT_MUTANT_NONE, &effects);
	bed_deliver(raft, 2, reply, 3 * SECOND + 1000, &effects);
	effects_clear(&effects);
	raft_peer_down(raft, 2, 4 * SECOND, &effects);
	effects_clear(&effects);
	raft_peer_up(raft, 2, 6 * SECOND, &effects);
	bed_take_sent(&effects, RAFT_APPEND, &sent);
	effects_clear(&effects);
	raft_free(raft);
	return sent.echo_us;
}

int main(void)
{
	struct raft_message append = { .kind = RAFT_APPEND,
				       .term = 3,
				       .index = 2,
				       .log_term = 2,
				       .commit = 2,
				       .sent_us = 500 * SECOND,
				       .echo_us = first_echo_us(),
				       .age_us = 1001,
				       .leader = 2 };
	struct raft *raft = bed_restored(RAFT_MUTANT_NONE, true);
	struct effects effects;
	int64_t age_us = 0;
	int at;

	printf("first append echoes %lld s\n",
	       (long long)(append.echo_us / SECOND));
	effects_init(&effects);
	raft_peer_up(raft, 2, 2 * SECOND, &effects);
	bed_deliver(raft, 2, append, 2 * SECOND, &effects);
	raft_peer_down(raft, 2, 3 * SECOND, &effects);
	for (at = 2; at <= 3600; at += 1199) {
		int64_t now_us = (int64_t)at * SECOND;

		age_us = now_us - raft_fresh_us(raft, now_us);
		printf("last heard %d s ago, state counts as %.3f s old\n",
		       at - 2, (double)age_us / SECOND);
	}
	return age_us < 60 * SECOND;
}
END
