// Package throttle keeps what all VMs together send to an upstream within the request
// rate that the upstream states in its responses. No message is exchanged before a request
// is sent.
//
// # Senders
//
// A few VMs, the senders, have equal shares of the rate, each in a token bucket; the others
// send nothing to the upstream. The senders are the first VMs in the upstream's preference
// order of the VMs that callers use, so VMs that know the same members choose the same
// senders. A token bucket lets at least one request pass at once, so the number of senders
// is limited to the burst that the upstream accepts beyond its rate.
//
// # Incomplete knowledge
//
//   - A VM that knows fewer members may take itself for a sender. Half of what the upstream
//     accepts beyond its rate is reserved for that, and for unequal network delays.
//   - A VM that has just started knows no members and sends nothing.
//   - A VM that sends nothing gets no responses. Senders learn from each response whether the
//     limit still holds, and VMs propagate what they know, see Report.
//   - If no VM has had a response from the upstream for silenceTimeout, because no sender has
//     a request for it, additional VMs may send, one more every silenceStep.
//
// # Usage
//
//	var l throttle.Limit                                   // One for each incarnation of an upstream.
//	changed := l.Answered(now, sentAt, notice)             // For each of its responses.
//	if l.Take(now, throttle.Place{Rank: 2, VMs: 40}) {     // Right before a request is sent.
//		...
//	}
//	if r, ok := l.Report(now); ok { send(r) }              // To other VMs,
//	l.Merge(now, r)                                        // and received from them.
package throttle

import "time"

// An upstream accepts up to (1 + excess) times its rate within a window, plus slack requests.
const (
	excess = 0.5
	window = 4 * time.Second
	slack  = 5
)

const (
	// burstFraction is the fraction of excess and slack that the senders use.
	burstFraction = 0.5
	// rateFraction is the fraction of the rate that the senders use.
	rateFraction = 0.9
	// minRate is the minimum rate of a sender in requests per second, so that an upstream
	// with a limit of zero still gets a request now and then that shows whether it holds.
	minRate = 0.1
	// burstPeriod is the time for which a sender may accumulate its share of the rate.
	burstPeriod = time.Second
	// silenceTimeout is the time without a notice after which one additional VM may send,
	// with another one every silenceStep after that.
	silenceTimeout = 10 * time.Second
	silenceStep    = window
	// liftedTTL is how long the end of a limit is reported to other VMs.
	liftedTTL = 15 * time.Second
	// relayMargin is by how much a reported end of a limit has to be newer than this VM's own
	// last notice: the time that the report was in flight is not known.
	relayMargin = 500 * time.Millisecond
)

// Kind says what a response states about the limit.
type Kind int

const (
	// None: the response states no limit.
	None Kind = iota
	// Named: the response states a limit.
	Named
	// Unreadable: the response states a limit that cannot be parsed. The limit stated before
	// stays in force.
	Unreadable
)

// Notice is what one response of an upstream states about its limit.
type Notice struct {
	Kind Kind
	// PerSecond is the number of requests per second that the upstream accepts from all VMs
	// together.
	PerSecond float64
}

// Place is a VM's position in an upstream's preference order of the VMs that callers use.
type Place struct {
	// Rank is the number of VMs that precede it.
	Rank int
	// VMs is the number of VMs in the order, including this one; 0: not known.
	VMs int
}

// Limit is what one VM knows of the limit of one incarnation of an upstream, with this VM's
// token bucket. The zero value is ready to use and has no limit. It is not safe for
// concurrent use.
type Limit struct {
	perSecond float64
	limited   bool
	// noticeAt is when the newest notice that is known here was received, by any VM.
	noticeAt time.Time
	// ownNoticeAt is when this VM received its own newest notice.
	ownNoticeAt time.Time
	tokens      float64
	refilledAt  time.Time
}

// Answered applies the notice of a response, and reports whether the limit changed. A
// response without a limit lifts the limit in force only if its request was sent after that
// limit was received: responses on different connections overtake each other.
func (l *Limit) Answered(now, sentAt time.Time, n Notice) (changed bool) {
	switch {
	case n.Kind == Named:
		changed = l.set(now, now, n.PerSecond)
		l.ownNoticeAt = now
	case n.Kind == None && l.limited && sentAt.After(l.noticeAt):
		changed = true
		l.lift(now)
		l.ownNoticeAt = now
	}
	return changed
}

// set puts a limit in force.
func (l *Limit) set(now, noticeAt time.Time, perSecond float64) (changed bool) {
	changed = !l.limited || l.perSecond != perSecond
	if !l.limited {
		l.tokens, l.refilledAt = 0, now
	}
	l.limited, l.perSecond, l.noticeAt = true, perSecond, noticeAt
	return changed
}

func (l *Limit) lift(noticeAt time.Time) { l.limited, l.perSecond, l.noticeAt = false, 0, noticeAt }

// PerSecond returns the limit in force in requests per second; false: there is none.
func (l *Limit) PerSecond() (float64, bool) { return l.perSecond, l.limited }

// Ready reports whether the VM at a place may send a request now.
func (l *Limit) Ready(now time.Time, p Place) bool {
	if !l.limited {
		return true
	}
	if !l.isSender(now, p) {
		return false
	}
	l.refill(now, p)
	return l.tokens >= 1
}

// Take takes a token for one request of the VM at a place, and reports whether it may be
// sent.
func (l *Limit) Take(now time.Time, p Place) bool {
	if !l.Ready(now, p) {
		return false
	}
	if l.limited {
		l.tokens--
	}
	return true
}

// Return returns the token of a request that was not sent after all.
func (l *Limit) Return() { l.tokens++ }

// Delay returns the time until the VM at a place may send a request; false: it is not a
// sender.
func (l *Limit) Delay(now time.Time, p Place) (time.Duration, bool) {
	if !l.limited {
		return 0, true
	}
	if !l.isSender(now, p) {
		return 0, false
	}
	l.refill(now, p)
	return max(0, time.Duration((1-l.tokens)/l.rate(p)*float64(time.Second))), true
}

// isSender reports whether the VM at a place is one of the senders.
func (l *Limit) isSender(now time.Time, p Place) bool {
	if p.VMs == 0 {
		return false
	}
	extra := 0
	if silence := now.Sub(l.noticeAt); silence > silenceTimeout {
		extra = 1 + int((silence-silenceTimeout)/silenceStep)
	}
	return p.Rank < l.senderCount(p)+extra
}

// burst returns how many requests the senders together may send at once.
func (l *Limit) burst() float64 {
	return burstFraction * (excess*l.perSecond*window.Seconds() + slack)
}

// senderCount returns the number of senders, without additional ones.
func (l *Limit) senderCount(p Place) int { return int(max(1, min(l.burst(), float64(p.VMs)))) }

// rate returns a sender's share of the rate in requests per second.
func (l *Limit) rate(p Place) float64 {
	return max(minRate, rateFraction*l.perSecond/float64(l.senderCount(p)))
}

// refill adds the tokens that accrued up to now.
func (l *Limit) refill(now time.Time, p Place) {
	rate := l.rate(p)
	depth := max(1, min(rate*burstPeriod.Seconds(), l.burst()/float64(l.senderCount(p))))
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens += rate * elapsed.Seconds()
		l.refilledAt = now
	}
	l.tokens = min(l.tokens, depth)
}

// Report is what one VM reports to others about the limit of an upstream.
type Report struct {
	// Limited is set if there is a limit, of PerSecond requests per second. Otherwise the
	// limit was lifted.
	Limited   bool
	PerSecond float64
	// Age is how long ago the upstream's notice was received.
	Age time.Duration
}

// Report returns what other VMs should know; false: nothing.
func (l *Limit) Report(now time.Time) (Report, bool) {
	if l.noticeAt.IsZero() {
		return Report{}, false
	}
	r := Report{l.limited, l.perSecond, max(0, now.Sub(l.noticeAt))}
	return r, r.Limited || r.Age < liftedTTL
}

// Merge applies a report received from another VM. A report that is older than the newest
// known notice is ignored.
func (l *Limit) Merge(now time.Time, r Report) {
	noticeAt := now.Add(-max(0, r.Age))
	// The comparison is also false for NaN.
	if !noticeAt.After(l.noticeAt) || !(r.PerSecond >= 0) {
		return
	}
	switch {
	case r.Limited:
		l.set(now, noticeAt, r.PerSecond)
	case l.limited && !noticeAt.Before(l.ownNoticeAt.Add(relayMargin)):
		l.lift(noticeAt)
	}
}
