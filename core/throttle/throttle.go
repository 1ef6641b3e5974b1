// Package throttle keeps what all VMs together send to an upstream within the request
// rate that the upstream names in its answers. No message is exchanged before a request is
// sent.
//
// # Senders
//
// A few VMs, the senders, have equal parts of the rate, each in a token bucket; the others
// send nothing to the upstream. Senders are the first in the upstream's order of the VMs that
// callers use, so VMs that know the same members choose the same senders. A token bucket lets
// at least one request pass at once, so there are no more senders than the upstream takes
// requests at once beyond its rate.
//
// # Incomplete knowledge
//
//   - A VM that knows fewer members may take itself for a sender. Half of what the upstream
//     takes beyond its rate is reserved for that, and for unequal delays on the way.
//   - A VM that has just started knows no members and sends nothing.
//   - A VM that sends nothing gets no answers. Senders learn from each answer whether the limit
//     still holds, and VMs relay what they know, see Report.
//   - Where no VM has had an answer of the upstream for quietAfter, as no sender has a request
//     for it, one more VM after the other may send.
//
// # Usage
//
//	var l throttle.Limit                                   // Of one incarnation of an upstream.
//	changed := l.Answered(now, sentAt, notice)             // With each of its answers.
//	if l.Take(now, throttle.Place{Rank: 2, VMs: 40}) {     // Right before a request is sent.
//		...
//	}
//	if r, ok := l.Report(now); ok { tell(r) }              // What other VMs should know,
//	l.Told(now, r)                                         // and what they tell.
package throttle

import "time"

// What an upstream takes beyond the rate that it names: excess of it within a window, and slack
// requests.
const (
	excess = 0.5
	window = 4 * time.Second
	slack  = 5
)

const (
	// burstUsed is the part of that which the senders use.
	burstUsed = 0.5
	// rateUsed is the part of the rate that the senders use.
	rateUsed = 0.9
	// leastRate is a sender's rate a second at least, so that an upstream that takes nothing
	// is asked now and then whether that still holds.
	leastRate = 0.1
	// burstSpan is the time for which a sender may save up its part.
	burstSpan = time.Second
	// quietAfter is the silence after which one more VM may send, and another one each
	// quietStep after that.
	quietAfter = 10 * time.Second
	quietStep  = window
	// reportFor is how long the end of a limit is told to other VMs.
	reportFor = 15 * time.Second
	// relayMargin is how much newer than this VM's own last notice a relayed end of a limit has
	// to be: the time that it travelled is not known.
	relayMargin = 500 * time.Millisecond
)

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

// Place is a VM's place in an upstream's order of the VMs that callers use.
type Place struct {
	// Rank is how many VMs come before it.
	Rank int
	// VMs is how many there are, this one included; 0: not known.
	VMs int
}

// Limit is what one VM knows of the limit of one incarnation of an upstream, and its part
// of it. The zero value is ready and knows of none. It is not safe for concurrent use.
type Limit struct {
	perSecond float64
	limited   bool
	// heardAt is when any VM had the newest notice that is known here.
	heardAt time.Time
	// ownAt is when this VM had its newest notice.
	ownAt    time.Time
	tokens   float64
	filledAt time.Time
}

// Answered takes in what an answer says, and returns whether that is new. An answer without
// a limit ends the one that was named before only if its request was sent later than that
// notice came: answers on different connections overtake each other.
func (l *Limit) Answered(now, sentAt time.Time, n Notice) (changed bool) {
	switch {
	case n.Kind == Named:
		changed = l.set(now, now, n.PerSecond)
		l.ownAt = now
	case n.Kind == None && l.limited && sentAt.After(l.heardAt):
		changed = true
		l.lift(now)
		l.ownAt = now
	}
	return changed
}

// set has a limit in force.
func (l *Limit) set(now, heardAt time.Time, perSecond float64) (changed bool) {
	changed = !l.limited || l.perSecond != perSecond
	if !l.limited {
		l.tokens, l.filledAt = 0, now
	}
	l.limited, l.perSecond, l.heardAt = true, perSecond, heardAt
	return changed
}

func (l *Limit) lift(heardAt time.Time) { l.limited, l.perSecond, l.heardAt = false, 0, heardAt }

// PerSecond returns the limit in force in requests a second; false: there is none.
func (l *Limit) PerSecond() (float64, bool) { return l.perSecond, l.limited }

// Ready reports whether a VM at a place may send a request now.
func (l *Limit) Ready(now time.Time, p Place) bool {
	if !l.limited {
		return true
	}
	if !l.sends(now, p) {
		return false
	}
	l.fill(now, p)
	return l.tokens >= 1
}

// Take takes a request out of the part of a VM at a place, and reports whether it may be sent.
func (l *Limit) Take(now time.Time, p Place) bool {
	if !l.Ready(now, p) {
		return false
	}
	if l.limited {
		l.tokens--
	}
	return true
}

// Return gives back a request that was taken out and not sent.
func (l *Limit) Return() { l.tokens++ }

// Next returns after which time a VM at a place may send a request; false: it is no sender.
func (l *Limit) Next(now time.Time, p Place) (time.Duration, bool) {
	if !l.limited {
		return 0, true
	}
	if !l.sends(now, p) {
		return 0, false
	}
	l.fill(now, p)
	return max(0, time.Duration((1-l.tokens)/l.rate(p)*float64(time.Second))), true
}

// sends reports whether a VM at a place is one of the senders.
func (l *Limit) sends(now time.Time, p Place) bool {
	if p.VMs == 0 {
		return false
	}
	extra := 0
	if quiet := now.Sub(l.heardAt); quiet > quietAfter {
		extra = 1 + int((quiet-quietAfter)/quietStep)
	}
	return p.Rank < l.senders(p)+extra
}

// burst is how many requests the senders together may send at once.
func (l *Limit) burst() float64 { return burstUsed * (excess*l.perSecond*window.Seconds() + slack) }

// senders is how many VMs may send.
func (l *Limit) senders(p Place) int { return int(max(1, min(l.burst(), float64(p.VMs)))) }

// rate is a sender's part in requests a second.
func (l *Limit) rate(p Place) float64 {
	return max(leastRate, rateUsed*l.perSecond/float64(l.senders(p)))
}

// fill refills the bucket up to now.
func (l *Limit) fill(now time.Time, p Place) {
	rate := l.rate(p)
	depth := max(1, min(rate*burstSpan.Seconds(), l.burst()/float64(l.senders(p))))
	if passed := now.Sub(l.filledAt); passed > 0 {
		l.tokens += rate * passed.Seconds()
		l.filledAt = now
	}
	l.tokens = min(l.tokens, depth)
}

// Report is what one VM tells others of the limit of an upstream.
type Report struct {
	// Limited says that there is a limit of PerSecond requests a second, else it is over.
	Limited   bool
	PerSecond float64
	// Age is how long ago the upstream said so.
	Age time.Duration
}

// Report returns what other VMs should know; false: nothing.
func (l *Limit) Report(now time.Time) (Report, bool) {
	if l.heardAt.IsZero() {
		return Report{}, false
	}
	r := Report{l.limited, l.perSecond, max(0, now.Sub(l.heardAt))}
	return r, r.Limited || r.Age < reportFor
}

// Told takes in what another VM tells.
func (l *Limit) Told(now time.Time, r Report) {
	heardAt := now.Add(-max(0, r.Age))
	// The comparison is false for NaN too.
	if !heardAt.After(l.heardAt) || !(r.PerSecond >= 0) {
		return
	}
	switch {
	case r.Limited:
		l.set(now, heardAt, r.PerSecond)
	case l.limited && !heardAt.Before(l.ownAt.Add(relayMargin)):
		l.lift(heardAt)
	}
}
