package entry

import (
	"maps"
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

// recognize reports whether a request has come back, by the time that its caller has left.
func (a *appointments) recognize(req *request) bool {
	if req.callerDeadline.IsZero() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.recognizer(req).Returned(req.started, req.callerDeadline.Sub(req.started)) {
		return false
	}
	a.returned.Add(1)
	return true
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
	earliest, latest := a.bounds(req, deadline.Sub(now))
	if latest < appointment.MinWait {
		e.RetryAfter = 0 // A return could not be served in time.
		return
	}
	req.told = a.appointRoom(now, req, max(earliest, e.RetryAfter), latest)
	e.RetryAfter = req.told.wait
	a.told.Add(1)
	if req.told.kept {
		a.promised.Add(1)
	}
}

// bounds returns the shortest wait after which a caller is recognized, and the longest after
// which it can still be served.
func (a *appointments) bounds(req *request, left time.Duration) (earliest, latest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.recognizer(req)
	return r.Earliest(left), appointment.Latest(left, r.Usual())
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

// keepRoutes forgets what is known of routes for which keep returns false.
func (a *appointments) keepRoutes(keep func(route string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.routes, func(name string, _ *appointment.Recognizer) bool { return !keep(name) })
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
// they were believed to have room may well be taken at once by others. A team's limit is used up
// whoever is served, and room that is kept for a late request would be taken from one in time.
func appointable(e *verdict.Error) bool {
	return e != nil && e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonNoCapacity
}
