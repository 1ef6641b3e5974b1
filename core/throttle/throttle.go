// Package throttle keeps what VMs send to an upstream within the request rate that the
// upstream names in its answers.
//
// # Usage
//
//	var l throttle.Limit                                   // Of one incarnation of an upstream.
//	changed := l.Answered(now, sentAt, notice)             // With each of its answers.
package throttle

import "time"

// Kind says what an answer tells of a limit.
type Kind int

const (
	// None: the answer names no limit.
	None Kind = iota
	// Named: the answer names a limit.
	Named
	// Unreadable: the answer means to name a limit that cannot be read, so neither is what
	// was named before over.
	Unreadable
)

// Notice is what one answer of an upstream says of its limit.
type Notice struct {
	Kind Kind
	// PerSecond is how many requests a second the upstream takes of all VMs together.
	PerSecond float64
}

// Limit is what one VM knows of the limit of one incarnation of an upstream. The zero
// value is ready and knows of none. It is not safe for concurrent use.
type Limit struct {
	perSecond float64
	limited   bool
	// heardAt is when the newest word of the upstream was heard.
	heardAt time.Time
}

// Answered takes in what an answer says, and returns whether that is new. An answer without
// a limit ends the one that was named before only if its request was sent later than that
// was heard: answers on different connections overtake each other.
func (l *Limit) Answered(now, sentAt time.Time, n Notice) (changed bool) {
	switch {
	case n.Kind == Named:
		changed = !l.limited || l.perSecond != n.PerSecond
		l.limited, l.perSecond, l.heardAt = true, n.PerSecond, now
	case n.Kind == None && l.limited && sentAt.After(l.heardAt):
		changed = true
		l.limited, l.perSecond, l.heardAt = false, 0, now
	}
	return changed
}

// PerSecond returns the limit in force in requests a second; false: there is none.
func (l *Limit) PerSecond() (float64, bool) { return l.perSecond, l.limited }
