package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"auburnlatch/platform/standin"
)

// What upstreams announce in their responses, and what they may receive afterwards.
const (
	// noticeInterval is the mean time between the starts of two announcements.
	noticeInterval = 1500 * time.Millisecond
	// limitWindow is the window over which requests are counted against an upstream's
	// limit. At most limitExcess times the limit plus limitSlack requests may arrive in it.
	limitWindow    = 4 * time.Second
	limitExcess    = 1.5
	limitSlack     = 5
	announcedLimit = 4
	// leaveWithin is the time after which a leaving upstream must receive no new requests.
	leaveWithin = 2500 * time.Millisecond
	// pauseDuration is the pause that upstreams ask for with Retry-After, and maxInPause
	// how many requests a VM may send during it.
	pauseDuration = 1500 * time.Millisecond
	maxInPause    = 2
	// noticeDelay is the time after which a VM must act on a response that it forwarded.
	noticeDelay = 500 * time.Millisecond
	// exemptFor is how long a VM or an upstream is exempt from checks after it was suspended
	// or its path was impaired, since delayed requests then arrive in a burst.
	exemptFor = 4 * time.Second
)

// noticeInjector makes upstreams announce limits, pauses and that they leave, on a
// schedule determined by a seed.
type noticeInjector struct {
	fleet *fleet
	chaos *chaos
	rnd   *rand.Rand
	wait  sync.WaitGroup
}

// run starts announcements until end and returns when the last one is over.
func (n *noticeInjector) run(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		which := n.rnd.IntN(1000)
		u := n.fleet.upstream(which)
		switch n.rnd.IntN(3) {
		case 0:
			n.wait.Go(func() { u.announceLimit(ctx, exemptFor+maxFaultDuration) })
		case 1:
			n.wait.Go(func() { n.leaving(ctx, which) })
		case 2:
			n.wait.Go(func() { u.announcePause(ctx, exemptFor) })
		}
		<-time.After(time.Duration(n.rnd.ExpFloat64() * float64(noticeInterval)))
	}
	n.wait.Wait()
}

// announceLimit makes the upstream announce a limit for d.
func (u *upstreamProc) announceLimit(ctx context.Context, d time.Duration) {
	u.setNotice(ctx, "limit", strconv.Itoa(announcedLimit))
	<-time.After(d)
	u.setNotice(ctx, "limit", "")
}

// announcePause makes the upstream refuse all requests for d and ask for pauses.
func (u *upstreamProc) announcePause(ctx context.Context, d time.Duration) {
	u.setNotice(ctx, "pause", strconv.FormatFloat(pauseDuration.Seconds(), 'f', -1, 64))
	<-time.After(d)
	u.setNotice(ctx, "pause", "")
}

// leaving makes an upstream announce that it is leaving, and kills it later.
func (n *noticeInjector) leaving(ctx context.Context, which int) {
	lock := n.chaos.lock("upstream", which)
	lock.Lock()
	defer lock.Unlock()
	u := n.fleet.upstream(which)
	u.setNotice(ctx, "leaving", "1")
	<-time.After(leaveWithin + maxFaultDuration)
	n.chaos.recordError("leaving", u.restart(syscall.SIGKILL))
}

// setNotice sets what the upstream announces. It does nothing if the upstream is down.
func (u *upstreamProc) setNotice(ctx context.Context, what, value string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s=%s", u.listen, standin.NoticePath, what, value), http.NoBody)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// span is a time span.
type span struct{ from, to time.Time }

// exemptions are the spans in which VMs and upstreams are exempt from checks, by name.
type exemptions struct {
	mu    sync.Mutex
	spans map[string][]span
}

// begin exempts a process from now on. The exemption lasts until exemptFor after a call of
// end.
func (e *exemptions) begin(name string) (end func()) {
	from := time.Now()
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.spans == nil {
			e.spans = make(map[string][]span)
		}
		e.spans[name] = append(e.spans[name], span{from, time.Now().Add(exemptFor)})
	}
}

// at reports whether a process is exempt at the given time.
func (e *exemptions) at(name string, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.spans[name], func(s span) bool { return !at.Before(s.from) && !at.After(s.to) })
}

// notice is an announcement of an upstream to a VM.
type notice struct {
	what  string
	value float64
	at    time.Time
	e     *entry // The request in whose response it was.
}

// heard reports whether the announcement reached the VM that received the request from its caller: a
// VM doesn't read the response if its caller has left, and another VM does while its links are cut.
func (n notice) heard(x *exemptions) bool { return !n.e.canceled && !x.at(n.e.vm+relayed, n.at) }

// relayed marks, after a VM's name, the spans in which other VMs send its requests.
const relayed = " relayed"

// arrival is the arrival of a request at an upstream.
type arrival struct {
	at time.Time
	e  *entry
}

// incarnationLog records the requests to one incarnation of an upstream and its announcements.
type incarnationLog struct {
	arrivals []arrival
	notices  map[string][]notice // By the VM's process.
}

// incarnation returns the log of an incarnation of an upstream.
func (l *ledger) incarnation(name string) *incarnationLog {
	g := l.upstreams[name]
	if g == nil {
		g = &incarnationLog{notices: make(map[string][]notice)}
		l.upstreams[name] = g
	}
	return g
}

// recordArrival records the arrival of a request from the rest of a Got line: the upstream's
// incarnation and the time by the upstream's clock. Lines may be read later than they are
// written.
func (l *ledger) recordArrival(id, line string) {
	var upstream string
	var nanos int64
	if _, err := fmt.Sscan(line, &upstream, &nanos); err != nil {
		l.unexpected = append(l.unexpected, line)
		return
	}
	var number int
	if _, err := fmt.Sscanf(upstream, "i-%d-", &number); err != nil {
		l.unexpected = append(l.unexpected, line)
		return
	}
	if e := l.entry(id); e.arrivals == 0 {
		e.other = l.otherFrom > 0 && number >= l.otherFrom
	}
	if _, region := zoneOf(number); l.entry(id).home && region != standin.HomeRegion {
		l.unexpected = append(l.unexpected, "a request outside of its home: "+line)
	}
	g := l.incarnation(upstream)
	g.arrivals = append(g.arrivals, arrival{time.Unix(0, nanos), l.entry(id)})
}

// recordNotice records an announcement from the rest of a Said line: the request's ID, the
// upstream's incarnation, the kind, the value and the time.
func (l *ledger) recordNotice(line string) {
	var id, upstream string
	var s notice
	var nanos int64
	if _, err := fmt.Sscan(line, &id, &upstream, &s.what, &s.value, &nanos); err != nil {
		l.unexpected = append(l.unexpected, line)
		return
	}
	s.at, s.e = time.Unix(0, nanos), l.entry(id)
	g, vm := l.incarnation(upstream), s.e.process
	g.notices[vm] = append(g.notices[vm], s)
}

// judgeNotices checks what upstreams received after their announcements.
func (l *ledger) judgeNotices(x *exemptions) (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, g := range l.upstreams {
		if n := g.overLimit(x, upstreamOf(name)); n > 0 {
			broken = append(broken, fmt.Sprintf("upstream %s announced a limit of %d requests per second and received %d in %v", name, announcedLimit, n, limitWindow))
		}
		if n, vm, at := g.inPause(x, upstreamOf(name)); n > 0 {
			broken = append(broken, fmt.Sprintf("upstream %s asked %s for a pause of %v at %s and received %d requests from it",
				name, vm, pauseDuration, at.Format("15:04:05.000"), n))
		}
		if n := g.afterLeaving(x); n > 0 {
			broken = append(broken, fmt.Sprintf("upstream %s announced that it is leaving and received %d requests from VMs that knew it", name, n))
		}
	}
	slices.Sort(broken)
	return broken
}

// upstreamOf returns the name of an incarnation's process.
func upstreamOf(incarnation string) string {
	f := strings.Split(incarnation, "-")
	if len(f) < 2 {
		return incarnation
	}
	return "upstream-" + f[1]
}

// overLimit returns the largest number of requests in a window if it exceeds the limit,
// otherwise 0. It counts requests that arrived while the upstream announced the limit, from
// VMs that had received it. Windows that end earlier than limitWindow after the first
// announcement do not count, and neither do requests that arrived after the upstream had
// ended a limit and before it announced the next one.
func (g *incarnationLog) overLimit(x *exemptions, upstream string) int {
	var said []notice
	for _, list := range g.notices {
		for _, s := range list {
			if s.what == "limit" {
				said = append(said, s)
			}
		}
	}
	slices.SortFunc(said, func(a, b notice) int { return a.at.Compare(b.at) })
	var limited []notice
	for _, s := range said {
		if s.value > 0 {
			limited = append(limited, s)
		}
	}
	if len(limited) == 0 {
		return 0
	}
	first, last := limited[0].at, limited[len(limited)-1].at
	ended := func(at time.Time) bool {
		i, _ := slices.BinarySearchFunc(said, at, func(s notice, at time.Time) int { return s.at.Compare(at) })
		return i > 0 && said[i-1].value == 0
	}
	var bound []time.Time
	for _, a := range g.arrivals {
		if g.knowsLimit(a) && !a.at.After(last) && !ended(a.at) && !x.at(upstream, a.at) && !x.at(a.e.vm, a.at) {
			bound = append(bound, a.at)
		}
	}
	slices.SortFunc(bound, time.Time.Compare)
	most, from := 0, 0
	for i, at := range bound {
		for at.Sub(bound[from]) > limitWindow {
			from++
		}
		if at.Sub(first) >= limitWindow {
			most = max(most, i-from+1)
		}
	}
	if float64(most) <= limitExcess*announcedLimit*limitWindow.Seconds()+limitSlack {
		return 0
	}
	return most
}

// afterLeaving returns how many requests arrived that callers sent later than leaveWithin
// after the VM had received the announcement that the upstream is leaving.
func (g *incarnationLog) afterLeaving(x *exemptions) (n int) {
	for _, a := range g.arrivals {
		late := slices.ContainsFunc(g.notices[a.e.process], func(s notice) bool {
			return s.what == "leaving" && s.heard(x) && a.e.at.Sub(s.at) > leaveWithin
		})
		if late && !x.at(a.e.vm, a.at) && !x.at(a.e.vm+relayed, a.at) {
			n++
		}
	}
	return n
}

// inPause returns the largest number of requests that a VM's process sent in a pause, the
// process, and the time of the announcement. The number is 0 if none exceeds maxInPause.
func (g *incarnationLog) inPause(x *exemptions, upstream string) (most int, vm string, at time.Time) {
	for process, list := range g.notices {
		for _, s := range list {
			if s.what != "pause" || !s.heard(x) {
				continue
			}
			from, to := s.at.Add(noticeDelay), s.at.Add(time.Duration(s.value*float64(time.Second)))
			n := 0
			for _, a := range g.arrivals {
				if a.e.process == process && a.at.After(from) && a.at.Before(to) && !x.at(a.e.vm, a.at) && !x.at(a.e.vm+relayed, a.at) && !x.at(upstream, a.at) {
					n++
				}
			}
			if n > max(most, maxInPause) {
				most, vm, at = n, process, s.at
			}
		}
	}
	return most, vm, at
}

// knowsLimit reports whether the VM that sent a request had received a limit at least
// noticeDelay before.
func (g *incarnationLog) knowsLimit(a arrival) bool {
	return slices.ContainsFunc(g.notices[a.e.process], func(s notice) bool {
		return s.what == "limit" && s.value > 0 && a.at.Sub(s.at) >= noticeDelay
	})
}
