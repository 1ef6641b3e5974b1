package upstream

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/lease"
	"auburnlatch/core/verdict"
	"auburnlatch/io/clock"
)

// Process knows the process of an upstream, which may have started again at the same address and under
// the same ID.
type Process interface {
	// CheckDue reports whether a check has to show which process is at the other end of a
	// connection that was opened at a moment. With an error the request must not be sent now.
	CheckDue(now time.Time, opened lease.Moment) (bool, error)
	// Check returns the check.
	Check() Check
	// Checked takes the response to a check that was sent at asked. With an error the request must
	// not be sent now.
	Checked(now time.Time, asked lease.Moment, resp *http.Response) error
	// Lost records that a connection was lost, or that none could be opened.
	Lost(now lease.Moment)
}

var (
	// errClosedAfterCheck reports that the upstream said that it closes the connection on which it
	// was checked, and errLostAfterCheck that it did without saying so.
	errClosedAfterCheck = errors.New("the upstream closes the connection after a health check")
	errLostAfterCheck   = errors.New("the connection was lost after a health check")
)

// processCheckTimeout bounds the check of the process of an upstream. A response across regions takes
// less than half of it, and the request needs what is left of its time for another upstream.
const processCheckTimeout = 300 * time.Millisecond

// lost records that a connection was lost, or that none could be opened.
func (c *Call) lost() {
	if c.Process != nil {
		c.Process.Lost(clock.SinceBoot())
	}
}

// checkedConn returns a connection to the call's target on which its request may be sent, as far as
// the call's Process is concerned. If it returns an error, the request has not run.
func (p *Pool) checkedConn(ctx context.Context, call *Call, dialWithin time.Duration) (*conn, error) {
	c, err := p.get(ctx, call, dialWithin)
	if err != nil || call.Process == nil {
		return c, err
	}
	err = p.checkProcess(ctx, call, c)
	if !errors.Is(err, errClosedAfterCheck) {
		return c, err
	}
	// The process was asked a moment ago. If it closes each connection after that, there is no better
	// time to open another one.
	return p.get(ctx, call, dialWithin)
}

// checkProcess checks which process is at the other end of a connection, if that has to be known
// before the call's request is sent on it. If it returns an error, the connection has been kept for
// others or closed. There is one check of an upstream at a time: a cold one should not get many.
func (p *Pool) checkProcess(ctx context.Context, call *Call, c *conn) error {
	for {
		due, err := call.Process.CheckDue(time.Now(), c.opened)
		if err != nil {
			p.pushIdle(call.Target, c)
			return withheld(err)
		}
		if !due {
			return nil
		}
		check, first := p.beginCheck(call.Target)
		if first {
			defer p.endCheck(call.Target, check)
			check.err = p.sendProcessCheck(ctx, call, c)
			return check.err
		}
		select {
		case <-check.done:
		case <-ctx.Done():
			p.pushIdle(call.Target, c)
			return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonCanceled, 0)
		}
		if check.err != nil && verdict.As(check.err).Reason == verdict.ReasonUnreachable {
			p.pushIdle(call.Target, c)
			return check.err // It would not respond to another one either.
		}
	}
}

// processCheck is a check in progress. err is set before done is closed.
type processCheck struct {
	done chan struct{}
	err  error
}

// beginCheck begins a check of a target, or returns the one in progress.
func (p *Pool) beginCheck(target string) (check *processCheck, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if check := p.checking[target]; check != nil {
		return check, false
	}
	check = &processCheck{done: make(chan struct{})}
	p.checking[target] = check
	return check, true
}

func (p *Pool) endCheck(target string, check *processCheck) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(check.done)
	delete(p.checking, target)
}

// sendProcessCheck sends a check on a connection and has the call's Process judge the response.
func (p *Pool) sendProcessCheck(ctx context.Context, call *Call, c *conn) error {
	checkCtx, cancel := context.WithTimeout(ctx, processCheckTimeout)
	defer cancel()
	stop := context.AfterFunc(checkCtx, func() { c.Close() })
	asked := clock.SinceBoot()
	p.checked.Add(1)
	resp, err := c.check(call.Addr, call.Process.Check(), int(p.maxHeader.Load()))
	inTime := stop()
	switch {
	case ctx.Err() != nil:
		c.Close()
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonCanceled, 0)
	case !inTime || err != nil:
		p.countHeader(err)
		c.Close()
		call.lost()
		return verdict.Wrap(cmp.Or(err, checkCtx.Err()), verdict.NotRun, verdict.ReasonUnreachable, defaultRetryAfter)
	}
	if err := call.Process.Checked(time.Now(), asked, resp); err != nil {
		p.keep(call.Target, c, resp)
		return withheld(err)
	}
	switch {
	case resp.Close:
		c.Close()
		return withheld(errClosedAfterCheck)
	case !reusableAfter(c, resp) || !c.quiet():
		c.Close()
		call.lost()
		return withheld(errLostAfterCheck)
	}
	return nil
}

// withheld returns the error of a request that is not sent to its upstream now.
func withheld(err error) *verdict.Error {
	return verdict.Wrap(err, verdict.NotRun, verdict.ReasonWithheld, withheldRetryAfter)
}
