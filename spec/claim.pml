/*
 * The claim protocol of core/claim: an operation with one idempotency key runs
 * at most once, and an attempt that returned NotRun never ran and leaves no
 * claim.
 *
 * The model has one row of the platform's table. Attempts (of a caller that
 * retries through several VMs) write it by compare-and-swap. The reply to a
 * write arrives or is lost. A write whose reply is lost takes effect now, at
 * any later time, or never. An attempt can crash at each step and can be paused
 * for any time between two steps. An operator may resolve a claim after its
 * deadline.
 *
 * Each step of an attempt is atomic, as is each transaction of the table. The
 * check of the deadline and the dispatch are one step. In the implementation
 * the time between them is bounded by MaxWriteDelay (see claim.MayResolve).
 *
 * Seeded faults, which the checker must find:
 *   -DSETTLE_BY_READ   a lost reply is settled by one read, without a tombstone
 *   -DDISPATCH_EARLY   dispatches without waiting for the reply to the claim
 *   -DNO_DEADLINE      a holder that resumes after its deadline dispatches
 */

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#define NOBODY   255
#define LATE     3      /* writes in flight at once, for each attempt */
#define TRIES    2      /* claims of one attempt */
#define SETTLES  2      /* lost tombstones of one attempt */

mtype = { Absent, Claimed, Done, Tombstone };

typedef Late { bool live; byte cond; mtype st; };
typedef Lates { Late w[LATE]; };

byte  ver = 0;          /* 0: no row */
byte  last = 0;         /* the newest version; versions are never reused */
mtype st = Absent;
byte  owner = NOBODY;

byte  runs = 0;
bool  ranBy[ATTEMPTS];
bool  toldNotRun[ATTEMPTS];
bool  settled[ATTEMPTS];   /* ended, with nothing left to write */
bool  expired[ATTEMPTS];   /* the deadline has passed */
Lates late[ATTEMPTS];

inline apply(newSt, who) {
	last++;
	ver = last;
	st = newSt;
	owner = who;
	/* An attempt that ended with NotRun must leave no claim: the row would
	 * stay Claimed and nobody would settle it. */
	assert(!(newSt == Claimed && settled[who] && toldNotRun[who]))
}

/* A write whose reply is lost stays in flight. */
inline lose(onVer, newSt, who) {
	if
	:: !late[who].w[0].live -> late[who].w[0].live = true; late[who].w[0].cond = onVer; late[who].w[0].st = newSt
	:: late[who].w[0].live && !late[who].w[1].live -> late[who].w[1].live = true; late[who].w[1].cond = onVer; late[who].w[1].st = newSt
	:: late[who].w[0].live && late[who].w[1].live && !late[who].w[2].live ->
		late[who].w[2].live = true; late[who].w[2].cond = onVer; late[who].w[2].st = newSt
	:: else -> skip       /* never takes effect */
	fi
}

inline execute(who) {
	assert(!toldNotRun[who]);
	assert(runs == 0);
	runs++;
	ranBy[who] = true
}

inline sayNotRun(who) {
	assert(!ranBy[who]);
	toldNotRun[who] = true
}

/* Writes in flight take effect at any time, in any order, or never. */
active proctype Network() {
	byte i, j;
	mtype s;
end:	do
	:: atomic {
		select(i : 0 .. (ATTEMPTS-1));
		select(j : 0 .. (LATE-1));
		if
		:: late[i].w[j].live ->
			if
			:: late[i].w[j].cond == ver -> s = late[i].w[j].st; apply(s, i)
			:: else
			fi;
			late[i].w[j].live = false; late[i].w[j].cond = 0; late[i].w[j].st = 0
		:: else
		fi;
		i = 0; j = 0; s = 0
	}
	od
}

/* Deadlines pass, and an operator who checked at the upstream whether the
 * operation ran resolves claims that are past their deadline. */
active proctype Operator() {
	byte i;
end:	do
	:: atomic { select(i : 0 .. (ATTEMPTS-1)); !expired[i] -> expired[i] = true; i = 0 }
	:: atomic { st == Claimed && expired[owner] ->
		if
		:: runs == 0 -> apply(Tombstone, owner)
		:: runs > 0  -> apply(Done, owner)
		fi
	}
	od
}

proctype Attempt(byte id) {
	byte seen = 0, own = 0, claims = 0, settles = 0;
	bool given = false;   /* NotRun was returned to the caller; must not dispatch */

claim:	if
	:: true -> goto crash
	:: atomic { expired[id] -> sayNotRun(id); settled[id] = true; goto over }
	:: atomic { !expired[id] && ver == seen -> apply(Claimed, id); own = ver; goto hold }
	:: atomic { !expired[id] && ver != seen -> goto found }
	:: atomic { !expired[id] -> lose(seen, Claimed, id)
#ifdef DISPATCH_EARLY
		; execute(id); goto over
#else
		; goto settle
#endif
	}
	:: atomic { true -> sayNotRun(id); settled[id] = true; goto over }   /* never sent */
	fi;

settle:	if
	:: true -> goto crash
#ifdef SETTLE_BY_READ
	:: atomic { ver == seen -> if :: !given -> sayNotRun(id) :: given fi; settled[id] = true; goto over }
#else
	:: atomic { ver == seen ->
		apply(Tombstone, id);
		if :: !given -> sayNotRun(id) :: given fi;
		settled[id] = true; goto over }
#endif
	:: atomic { ver != seen -> goto found }
	:: atomic { settles < SETTLES ->
		settles++;
		lose(seen, Tombstone, id);
		/* NotRun is returned to the caller at once, so the attempt must not run. */
		if :: !given -> sayNotRun(id); given = true :: given fi;
		goto settle }
	fi;

found:	if
	:: true -> goto crash
	:: atomic { st == Claimed && owner == id -> own = ver; goto hold }
	:: atomic { st == Claimed && owner != id -> settled[id] = true; goto over }   /* MaybeRan */
	:: atomic { st == Done -> settled[id] = true; goto over }                     /* replay */
	:: atomic { (st == Tombstone || st == Absent) && (owner == id || given || claims >= TRIES) ->
		if :: !given -> sayNotRun(id) :: given fi;
		settled[id] = true; goto over }
	:: atomic { (st == Tombstone || st == Absent) && owner != id && !given && claims < TRIES ->
		claims++; seen = ver; goto claim }
	fi;

hold:	if
	:: true -> goto crash
	:: atomic { given -> goto release }
	:: atomic { !given && expired[id] ->
#ifdef NO_DEADLINE
		execute(id); goto finish
#else
		sayNotRun(id); given = true; goto release
#endif
	}
	:: atomic { !given && !expired[id] -> execute(id); goto finish }
	:: atomic { !given && !expired[id] -> sayNotRun(id); given = true; goto release }  /* upstream refused */
	fi;

release: if
	:: true -> goto crash
	:: atomic { ver == own -> apply(Tombstone, id); settled[id] = true; goto over }
	:: atomic { ver != own -> settled[id] = true; goto over }
	:: atomic { settles < SETTLES -> settles++; lose(own, Tombstone, id); goto release }
	fi;

finish:	if
	:: true -> goto crash
	:: atomic { ver == own -> apply(Done, id); settled[id] = true; goto over }
	:: atomic { ver != own -> settled[id] = true; goto over }
	:: atomic { settles < SETTLES -> settles++; lose(own, Done, id); goto finish }
	fi;

crash:	skip;
over:	skip
}

init {
	atomic {
		byte n = 0;
		do
		:: n < ATTEMPTS -> run Attempt(n); n++
		:: else -> break
		od
	}
}
