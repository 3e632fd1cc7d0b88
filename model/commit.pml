/*
 * Election and commit: what is committed once stays, under crashes that lose
 * what wasn't synced, lost, late and doubled messages, and partitions.
 *
 * Three voters as one transition system. What a leader sent may be taken at
 * any later time or never, which covers loss, delay, doubling, reordering and
 * every partition. An entry is known by the term that made it; a log has at
 * most two.
 *
 * Only what is on the disk is kept of a follower: it says nothing before its
 * sync, so a crash before that is the same as a message that never came. A
 * leader sends its own entries before they are synced here.
 *
 * -D options take one guard away each: VOTE_BEFORE_SYNC and ACK_BEFORE_SYNC
 * (it is told, and lost by a crash), COUNT_OWN_BEFORE_SYNC, COMMIT_OLD_TERM,
 * VOTE_ANY_LOG, VOTE_TWICE. REACH shows that entries of two terms are
 * committed at all.
 */
#ifndef TERMS
#define TERMS 4
#endif

/* by voter, on the disk; e0 and e1 are the log's entries */
byte term[3], vote[3], size[3], e0[3], e1[3];
bool leads[3];
/* by leader and voter: entries acknowledged */
byte acked[9];
/* by term: the voters of each of the three candidates, a bit each */
byte votes0[5], votes1[5], votes2[5];
/* by term: the leader and what it ever sent */
byte leader[5], ssize[5], s0[5], s1[5];
/* what is committed, and the term in which it first was */
byte csize, c0, c1, in0, in1;

hidden byte me, you, at, part, got;

inline pick_voter(v) {
	if
	:: v = 0
	:: v = 1
	:: v = 2
	fi
}

inline pick_term() {
	if
	:: at = 1
	:: at = 2
	:: TERMS > 2 -> at = 3
	:: TERMS > 3 -> at = 4
	fi
}

inline pick_part() {
	if
	:: part = 0
	:: part = 1
	:: part = 2
	fi
}

#define last_term(v) (size[v] == 0 -> 0 : (size[v] == 1 -> e0[v] : e1[v]))

inline step_down() {
	leads[me] = false;
	acked[3 * me] = 0;
	acked[3 * me + 1] = 0;
	acked[3 * me + 2] = 0
}

inline see_term() {
	if
	:: at > term[me] ->
		term[me] = at;
		vote[me] = 0;
		step_down()
	:: else
	fi
}

inline tell_vote(v) {
	if
	:: v == 0 -> votes0[at] = votes0[at] | (1 << me)
	:: v == 1 -> votes1[at] = votes1[at] | (1 << me)
	:: v == 2 -> votes2[at] = votes2[at] | (1 << me)
	fi
}

/* a term behind all voters has no effect any more */
inline forget_term() {
	if
	:: at && term[0] > at && term[1] > at && term[2] > at ->
		votes0[at] = 0;
		votes1[at] = 0;
		votes2[at] = 0;
		leader[at] = 0;
		ssize[at] = 0;
		s0[at] = 0;
		s1[at] = 0
	:: else
	fi
}

inline forget_terms() {
	at = 1;
	forget_term();
	at = 2;
	forget_term();
	at = 3;
	forget_term()
}

inline campaign() {
	pick_voter(me);
	if
	:: term[me] < TERMS ->
		at = term[me] + 1;
		see_term();
		vote[me] = me + 1;
		tell_vote(me);
		forget_terms()
	:: else
	fi
}

#ifdef VOTE_TWICE
#define vote_is_free true
#else
#define vote_is_free (at > term[me] || vote[me] == 0 || vote[me] == you + 1)
#endif

#ifdef VOTE_ANY_LOG
#define log_suffices true
#else
#define log_suffices (last_term(you) > last_term(me) || \
		      (last_term(you) == last_term(me) && \
		       size[you] >= size[me]))
#endif

#ifdef VOTE_BEFORE_SYNC
#define vote_is_kept false
#else
#define vote_is_kept true
#endif

/* me takes the request of candidate you */
inline grant() {
	pick_voter(me);
	pick_voter(you);
	at = term[you];
	if
	:: me != you && at && vote[you] == you + 1 && !leads[you] &&
	   leader[at] != you + 1 && at >= term[me] && vote_is_free &&
	   log_suffices ->
		tell_vote(you);
		if
		:: true ->
			see_term();
			vote[me] = you + 1
		:: !vote_is_kept
		fi;
		forget_terms()
	:: else
	fi
}

#define votes_of(v) (v == 0 -> votes0[at] : (v == 1 -> votes1[at] : votes2[at]))
#define two_of(v) (v == 3 || v == 5 || v == 6 || v == 7)

inline send() {
	ssize[at] = size[me];
	s0[at] = e0[me];
	s1[at] = e1[me]
}

/* a restarted leader doesn't go on in its old term */
inline win() {
	pick_voter(me);
	at = term[me];
	got = votes_of(me);
	if
	:: at && vote[me] == me + 1 && two_of(got) && leader[at] != me + 1 ->
		assert(leader[at] == 0); /* one leader a term */
		leader[at] = me + 1;
		leads[me] = true;
		send();
		/* it must hold all that was accepted in earlier terms */
		assert(csize < 1 || in0 >= at ||
		       (size[me] >= 1 && e0[me] == c0));
		assert(csize < 2 || in1 >= at ||
		       (size[me] == 2 && e1[me] == c1))
	:: else
	fi
}

/* a new entry goes out; it is on the disk by a step of its own */
inline propose() {
	pick_voter(me);
	at = term[me];
	if
	:: leads[me] && ssize[at] == 0 -> s0[at] = at; ssize[at] = 1
	:: leads[me] && ssize[at] == 1 -> s1[at] = at; ssize[at] = 2
	:: else
	fi
}

inline sync() {
	pick_voter(me);
	at = term[me];
	if
	:: leads[me] ->
		size[me] = ssize[at];
		e0[me] = s0[at];
		e1[me] = s1[at]
	:: else
	fi
}

inline store() {
	if
	:: (part >= 1 && (size[me] < 1 || e0[me] != s0[at])) ||
	   (part == 2 && (size[me] < 2 || e1[me] != s1[at])) ->
		size[me] = part;
		e0[me] = s0[at];
		e1[me] = (part == 2 -> s1[at] : 0)
	:: else
	fi
}

#ifdef ACK_BEFORE_SYNC
#define entries_are_kept false
#else
#define entries_are_kept true
#endif

/* me takes the first entries that the leader of a term sent */
inline accept() {
	pick_voter(me);
	pick_part();
	pick_term();
	if
	:: leader[at] && leader[at] != me + 1 && at >= term[me] &&
	   part <= ssize[at] ->
		got = leader[at] - 1;
		if
		:: leads[got] && term[got] == at &&
		   part > acked[3 * got + me] ->
			acked[3 * got + me] = part
		:: else
		fi;
		if
		:: true ->
			see_term();
			step_down();
			store()
		:: !entries_are_kept
		fi;
		forget_terms()
	:: else
	fi
}

#ifdef COUNT_OWN_BEFORE_SYNC
#define own_size ssize[at]
#else
#define own_size size[me]
#endif

#define holds(v) ((v == me -> own_size : acked[3 * me + v]) >= part)

#ifdef COMMIT_OLD_TERM
#define term_is_own true
#else
#define term_is_own ((part == 1 -> s0[at] : s1[at]) == at)
#endif

#ifdef REACH
#define both_committed (csize == 2 && c0 < c1)
#else
#define both_committed false
#endif

/* one committed history: nobody commits anything else */
inline commit() {
	pick_voter(me);
	pick_part();
	at = term[me];
	if
	:: leads[me] && part >= 1 && part <= ssize[at] && term_is_own &&
	   (holds(0) + holds(1) + holds(2)) >= 2 ->
		assert(csize < 1 || c0 == s0[at]);
		assert(csize < 2 || part < 2 || c1 == s1[at]);
		c0 = s0[at];
		in0 = (in0 == 0 || in0 > at -> at : in0);
		if
		:: part == 2 ->
			c1 = s1[at];
			in1 = (in1 == 0 || in1 > at -> at : in1);
			csize = 2
		:: part == 1 && csize == 0 -> csize = 1
		:: else
		fi;
		assert(!both_committed)
	:: else
	fi
}

inline crash() {
	pick_voter(me);
	step_down()
}

active proctype group() {
	do
	:: atomic { campaign() }
	:: atomic { grant() }
	:: atomic { win() }
	:: atomic { propose() }
	:: atomic { sync() }
	:: atomic { accept() }
	:: atomic { commit() }
	:: atomic { crash() }
	od
}
