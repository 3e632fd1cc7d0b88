/*
 * Lease reads: while a leader answers reads from its own state, nobody else
 * can have been elected and have changed it.
 *
 * Clocks as in order.pml. A voter that hears the leader gives no vote for
 * HEARD units of its clock, nor does it ask for votes; after a restart it
 * waits as long, since it has forgotten what it heard. A leader trusts a
 * quorum's answers for what this is on the fastest voter's clock.
 *
 * -D options take one guard away each: NO_PROMISE (votes are given while a
 * leader is heard), NO_RESTART_WAIT, NO_DRIFT, FROM_ANSWER, KEEP (a leader
 * that hands over goes on answering reads). REACH shows a second leader after one
 * with a lease.
 */
#ifndef TERMS
#define TERMS 2
#endif
#define HEARD 4
#ifdef NO_DRIFT
#define LEASE HEARD
#else
#define LEASE (HEARD / 2)
#endif

byte term[3];
bool leads[3];
bool gave_up[3];
byte age[3];
byte answered[3];
byte lease[3];
byte heard[3];		/* no vote for so long */
bool leased;		/* the first leader has had a lease */

hidden byte me, you, fast;

inline pick_voter(v) {
	if
	:: v = 0
	:: v = 1
	:: v = 2
	fi
}

#ifdef NO_PROMISE
#define free(v) true
#else
#define free(v) (heard[v] == 0)
#endif

#ifdef REACH
#define second (term[me] == 2 && leased)
#else
#define second false
#endif

#define asked_by_leader (gave_up[0] || gave_up[1] || gave_up[2])

inline elect() {
	pick_voter(me);
	pick_voter(you);
	if
	:: me != you && term[me] < TERMS && term[you] <= term[me] &&
	   ((free(me) && free(you)) || asked_by_leader) ->
		term[me]++;
		term[you] = term[me];
		leads[you] = false;
		lease[you] = 0;
		leads[me] = true;
		gave_up[me] = false;
		gave_up[you] = false;
		age[me] = 0;
		answered[me] = 0;
		lease[me] = 0;
		assert(!second);
		/* it may commit a change right away: nobody reads any more */
		assert(lease[0] == 0 && lease[1] == 0 && lease[2] == 0)
	:: else
	fi
}

inline send_round() {
	pick_voter(me);
	if
	:: leads[me] -> age[me] = 0; answered[me] = 0
	:: else
	fi
}

inline answer() {
	pick_voter(me);
	pick_voter(you);
	if
	:: me != you && leads[me] && term[you] <= term[me] ->
		if
		:: term[you] < term[me] -> term[you] = term[me];
			leads[you] = false; lease[you] = 0;
			gave_up[you] = false
		:: else
		fi;
		answered[me] = answered[me] | (1 << you);
		heard[you] = HEARD
	:: else
	fi
}

#ifdef FROM_ANSWER
#define since 0
#else
#define since age[me]
#endif

inline renew() {
	pick_voter(me);
	if
	:: leads[me] && !gave_up[me] && answered[me] && since < LEASE &&
	   LEASE - since > lease[me] ->
		lease[me] = LEASE - since;
		leased = true
	:: else
	fi
}

#ifdef KEEP
#define kept lease[me]
#else
#define kept 0
#endif

inline hand_over() {
	pick_voter(me);
	if
	:: leads[me] ->
		lease[me] = kept;
		gave_up[me] = true
	:: else
	fi
}

#ifdef NO_RESTART_WAIT
#define after_start 0
#else
#define after_start HEARD
#endif

inline crash() {
	pick_voter(me);
	leads[me] = false;
	gave_up[me] = false;
	lease[me] = 0;
	heard[me] = after_start
}

#define less(v) (v > fast -> v - fast : 0)

inline tick_one(v) {
	if
	:: fast = 1
	:: fast = 2
	fi;
	lease[v] = less(lease[v]);
	heard[v] = less(heard[v]);
	age[v] = (leads[v] -> (age[v] + fast > HEARD -> HEARD : age[v] + fast) :
			      0)
}

active proctype group() {
	do
	:: atomic { elect() }
	:: atomic { send_round() }
	:: atomic { answer() }
	:: atomic { renew() }
	:: atomic { hand_over() }
	:: atomic { crash() }
	:: atomic { tick_one(0); tick_one(1); tick_one(2) }
	od
}
