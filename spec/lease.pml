/*
 * The lease on the rules about keys (core/lease, io/entry/teams.go): two VMs request the newest
 * rules from the platform or from each other. Requests and replies take any time or are lost,
 * VMs restart or are paused for any time, and a key is revoked at any moment.
 *
 * Property: no VM admits the key later than BOUND after it was revoked.
 *
 * Seeded faults, each of which the checker must find:
 *   BY_ANSWER  the lease starts when the reply arrives instead of when the request was sent
 *   NO_AGE     the age of the rules received from the other VM is not subtracted
 */
#define BOUND 2
#define LAST 7
#define VMS 2

typedef Vm {
	bool knows;	/* the VM knows that the key was revoked */
	byte asOf;	/* the time as of which its rules are verified; 0: never */
	byte phase;	/* 0: idle, 1: request sent, 2: reply in flight */
	byte askedAt;
	bool heard;	/* the key is revoked according to the reply */
	byte age;	/* the age of the reply's rules */
}

Vm vm[VMS];
byte now = 1;
bool taken;
byte takenAt;

inline forget(i) {
	vm[i].phase = 0;
	vm[i].askedAt = 0;
	vm[i].heard = false;
	vm[i].age = 0
}

inline give(i, said, since) {
	vm[i].heard = said;
	vm[i].age = since;
	vm[i].phase = 2
}

inline deliver(i) {
#ifdef BY_ANSWER
	from = now;
#else
	from = vm[i].askedAt;
#endif
	vm[i].knows = vm[i].knows || vm[i].heard;
	if
	:: from > vm[i].age && from - vm[i].age > vm[i].asOf -> vm[i].asOf = from - vm[i].age
	:: else
	fi;
	forget(i);
	from = 0
}

#define ADMITS(v) (vm[v].asOf != 0 && now - vm[v].asOf <= BOUND && !vm[v].knows)
#define LATE (taken && now > takenAt + BOUND)

active proctype world() {
	byte v, other, from;
	do
	:: atomic { now < LAST -> now++; v = 0; other = 0 }
	:: atomic { !taken -> taken = true; takenAt = now }
	:: atomic {
		select(v : 0 .. 1);
		other = 1 - v;
		if
		:: vm[v].phase == 0 -> vm[v].phase = 1; vm[v].askedAt = now
		:: vm[v].phase == 1 -> give(v, taken, 0)
		:: vm[v].phase == 1 && vm[other].asOf != 0 ->
#ifdef NO_AGE
			give(v, vm[other].knows, 0)
#else
			give(v, vm[other].knows, now - vm[other].asOf)
#endif
		:: vm[v].phase == 2 -> deliver(v)
		:: vm[v].phase != 0 -> forget(v) /* lost */
		:: vm[v].knows = false; vm[v].asOf = 0; forget(v) /* restarts */
		fi;
		assert(!(LATE && (ADMITS(0) || ADMITS(1))));
		v = 0; other = 0
	}
	:: now == LAST -> break
	od
}
