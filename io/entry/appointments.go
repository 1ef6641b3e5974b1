package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"auburnlatch/core/admission"
	"auburnlatch/core/appointment"
	"auburnlatch/core/verdict"
)

// appointments decides when refused callers come back. The zero value is ready to use.
type appointments struct {
	mu     sync.Mutex
	rooms  map[roomKey]*room
	routes map[string]*appointment.Recognizer
	// promised and told count the callers that were told when to come back: those with an
	// appointment, and all. returned counts those that came back, served those of them that
	// were answered.
	promised, told, returned, served atomic.Int64
}

// roomKey identifies upstreams' room for requests of one rank.
type roomKey struct {
	service string
	rank    admission.Rank
}

// room is what is known of the room of one rank, and promised of it.
type room struct {
	book   appointment.Book
	served appointment.Meter
}

// told is what a refused caller was told.
type told struct {
	wait time.Duration
	// kept says that room is promised.
	kept bool
}

// topRank reports whether a request's route has the highest of all priorities. That of its team
// does not matter: requests compete for a limit with others of their team only.
func (v *VM) topRank(req *request) bool {
	ranks := v.table.Load().Ranks()
	return len(ranks) > 0 && req.route.Priority <= ranks[0]
}

// recognize reports whether a request has come back, and whether with an appointment, by the
// time that its caller has left.
func (a *appointments) recognize(req *request) (returned, appointed bool) {
	if req.callerDeadline.IsZero() {
		return false, false
	}
	a.mu.Lock()
	r, left := a.recognizer(req), req.callerDeadline.Sub(req.started)
	returned = r.Returned(req.started, left)
	appointed = returned && r.Appointed(left)
	a.mu.Unlock()
	if returned {
		a.returned.Add(1)
	}
	return returned, appointed
}

// answered records that a request was served.
func (a *appointments) answered(now time.Time, req *request) {
	if req.returned {
		a.served.Add(1)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recognizer(req).Served(now.Sub(req.started))
	a.room(req).served.Add(now)
}

// appointed records the outcome of a request, and tells its caller when to come back if it
// was refused for want of room.
func (v *VM) appointed(res result) {
	switch {
	case res.response != nil:
		v.appointments.answered(res.readyAt, res.request)
	case appointable(res.err):
		v.appoint(res.readyAt, res.request, res.err)
	}
}

// appoint sets when the caller of a refused request should come back.
func (v *VM) appoint(now time.Time, req *request, e *verdict.Error) {
	deadline := req.callerDeadline
	if deadline.IsZero() {
		deadline = req.deadline
	}
	a := &v.appointments
	w := a.waits(req, deadline.Sub(now))
	switch {
	case w.latest < appointment.MinWait:
		e.RetryAfter = 0 // A return could not be served in time.
		return
	case e.Reason == verdict.ReasonOverLimit:
		// The limit is used up either way. A token that is kept for a late request is taken from
		// one that would be in time, so it has to be for one that matters more.
		if v.topRank(req) {
			req.told.wait, req.told.kept = v.limits.Appoint(now, req.team, w.shortest, min(w.longest, w.latest))
		}
		if !req.told.kept {
			req.told.wait = v.waitForToken(now, req, w)
		}
	default:
		req.told = a.appointRoom(now, req, max(w.shortest, e.RetryAfter), w.latest)
	}
	e.RetryAfter = req.told.wait
	a.told.Add(1)
	if req.told.kept {
		a.promised.Add(1)
	}
}

// waits are what a caller may be told: from shortest to longest it is recognized as one with
// an appointment, and until latest it may be served.
type waits struct{ shortest, longest, latest time.Duration }

func (a *appointments) waits(req *request, left time.Duration) waits {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.recognizer(req)
	w := waits{latest: appointment.Latest(left, r.Usual())}
	w.shortest, w.longest = r.Waits(left)
	return w
}

// appointRoom returns when a caller for which upstreams have no room should come back.
func (a *appointments) appointRoom(now time.Time, req *request, earliest, latest time.Duration) told {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.room(req)
	wait, kept := r.book.Next(now, appointment.Room{From: now.Add(earliest), PerSecond: r.served.PerSecond(now)}, latest)
	if !kept {
		wait = max(earliest, r.book.Last(now, earliest, latest))
	}
	return told{wait, kept}
}

// waitForToken returns when a caller without an appointment should come back: for a token that
// is not kept, or late, after those with appointments.
func (v *VM) waitForToken(now time.Time, req *request, w waits) time.Duration {
	if wait, ok := v.limits.NextToken(now, req.team, w.latest); ok {
		return wait
	}
	a := &v.appointments
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.room(req).book.Last(now, w.longest+appointment.Trip, w.latest)
}

func (a *appointments) recognizer(req *request) *appointment.Recognizer {
	r := a.routes[req.route.Name]
	if r == nil {
		if a.routes == nil {
			a.routes = make(map[string]*appointment.Recognizer)
		}
		r = &appointment.Recognizer{}
		a.routes[req.route.Name] = r
	}
	return r
}

func (a *appointments) room(req *request) *room {
	key := roomKey{req.service, rankOf(req)}
	r := a.rooms[key]
	if r == nil {
		if a.rooms == nil {
			a.rooms = make(map[roomKey]*room)
		}
		r = &room{}
		a.rooms[key] = r
	}
	return r
}

// appointable reports whether an appointment helps the caller of a refused request: room is
// short, and it will have to compete for it when it comes back. What upstreams shed though
// they were believed to have room may well be taken at once by others.
func appointable(e *verdict.Error) bool {
	return e != nil && e.Verdict == verdict.NotRun && (e.Reason == verdict.ReasonNoCapacity || e.Reason == verdict.ReasonOverLimit)
}
