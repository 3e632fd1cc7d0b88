/*
 * Fenced orders: never two order-senders that both believe they are in charge
 * have an order under way at once, although the receiver ignores fencing
 * numbers.
 *
 * Three voters; any of them may be elected at any time by a majority in a new
 * term, also while the old leader is cut off silently, paused, or just slow
 * to hear. Clocks: at each tick of true time, each voter's clock advances by
 * 1 or 2 units as it likes, which is the drift bound. All times are counted
 * down in units of the clock that they are kept by.
 *
 * -D options take one guard away each: NO_WAIT, NO_DRIFT (the wait isn't
 * stretched), NO_TIMEOUT (an order's own time isn't counted), NO_RECHECK (the
 * clock isn't looked at again right before sending), FROM_ANSWER (the lease
 * counts from the answer, not from what was answered), ACK_OLD (a voter
 * answers an old leader after it voted for a new one). REACH shows that
 * orders of two holders after one another happen at all.
 */
#ifndef TERMS
#define TERMS 2
#endif
#define LEASE 4
#define ORDER 2			/* an order is given up after this */
#define MARGIN 1
#ifdef NO_WAIT
#define WAIT 0
#else
#ifdef NO_DRIFT
#define WAIT LEASE
#else
#define WAIT (2 * LEASE)	/* the same on the fastest clock */
#endif
#endif

byte term[3];
bool leads[3];
byte age[3];		/* since the present round was sent */
byte answered[3];	/* who answered it, a bit each */
byte lease[3];		/* what is left of it */
byte wait[3];		/* until the first order */
bool decided[3];	/* an order is on its way to the socket */
byte order[3];		/* what is left of an order under way */
bool ordered;		/* the first holder has sent one */

hidden byte me, you, fast;

inline pick_voter(v) {
	if
	:: v = 0
	:: v = 1
	:: v = 2
	fi
}

inline elect() {
	pick_voter(me);
	pick_voter(you);
	if
	:: me != you && term[me] < TERMS && term[you] <= term[me] ->
		term[me]++;
		term[you] = term[me];
		if
		:: leads[you] -> leads[you] = false; lease[you] = 0
		:: else
		fi;
		leads[me] = true;
		age[me] = 0;
		answered[me] = 0;
		lease[me] = 0;
		wait[me] = WAIT
	:: else
	fi
}

/* a leader sends a new round; answers to older ones don't count any more */
inline send_round() {
	pick_voter(me);
	if
	:: leads[me] -> age[me] = 0; answered[me] = 0
	:: else
	fi
}

#ifdef ACK_OLD
#define may_answer true
#else
#define may_answer (term[you] <= term[me])
#endif

/* you answer leader me, now; the answer may arrive at any later time */
inline answer() {
	pick_voter(me);
	pick_voter(you);
	if
	:: me != you && leads[me] && may_answer ->
		if
		:: term[you] < term[me] -> term[you] = term[me];
			leads[you] = false; lease[you] = 0
		:: else
		fi;
		answered[me] = answered[me] | (1 << you)
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
	:: leads[me] && answered[me] && since < LEASE &&
	   LEASE - since > lease[me] -> lease[me] = LEASE - since
	:: else
	fi
}

#ifdef NO_TIMEOUT
#define room 1
#else
#define room (ORDER + MARGIN)
#endif

inline decide() {
	pick_voter(me);
	if
	:: leads[me] && wait[me] == 0 && lease[me] >= room && !order[me] ->
		decided[me] = true
	:: else
	fi
}

#ifdef NO_RECHECK
#define still_time true
#else
#ifdef NO_TIMEOUT
#define still_time (lease[me] > 0)
#else
#define still_time (lease[me] >= ORDER)
#endif
#endif

#ifdef REACH
#define two_holders (ordered && term[me] == 2)
#else
#define two_holders false
#endif

/* the process may have been stopped for any time since it decided */
inline write_order() {
	pick_voter(me);
	if
	:: decided[me] ->
		decided[me] = false;
		if
		:: still_time ->
			order[me] = ORDER;
			assert(!two_holders);
			ordered = ordered || term[me] == 1;
			assert(!order[0] || !order[1]);
			assert(!order[0] || !order[2]);
			assert(!order[1] || !order[2])
		:: else
		fi
	:: else
	fi
}

/* an order under way goes on; the rest is forgotten */
inline crash() {
	pick_voter(me);
	leads[me] = false;
	decided[me] = false;
	lease[me] = 0;
	wait[me] = 0
}

#define less(v) (v > fast -> v - fast : 0)

inline tick_one(v) {
	if
	:: fast = 1
	:: fast = 2
	fi;
	lease[v] = less(lease[v]);
	wait[v] = less(wait[v]);
	order[v] = less(order[v]);
	age[v] = (leads[v] -> (age[v] + fast > LEASE -> LEASE : age[v] + fast) :
			      0)
}

active proctype group() {
	do
	:: atomic { elect() }
	:: atomic { send_round() }
	:: atomic { answer() }
	:: atomic { renew() }
	:: atomic { decide() }
	:: atomic { write_order() }
	:: atomic { crash() }
	:: atomic { tick_one(0); tick_one(1); tick_one(2) }
	od
}
