package upstream

import (
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

// errClosedAfterCheck reports that the upstream closes the connection on which it was checked.
var errClosedAfterCheck = errors.New("the upstream closes the connection after a health check")

// processCheckTimeout bounds the check of the process of an upstream: a response across regions.
const processCheckTimeout = 450 * time.Millisecond

// lost records that a connection was lost, or that none could be opened.
func (c *Call) lost() {
	if c.Process != nil {
		c.Process.Lost(clock.SinceBoot())
	}
}

// checkProcess checks which process is at the other end of a connection, if that has to be known
// before the call's request is sent on it. If it returns an error, the request has not run and the
// connection is kept for others or closed. There is one check of an upstream at a time: a cold one
// should not get many.
func (p *Pool) checkProcess(ctx context.Context, call *Call, c *conn) error {
	if call.Process == nil {
		return nil
	}
	for {
		due, err := call.Process.CheckDue(time.Now(), c.opened)
		if err != nil {
			p.pushIdle(call.Target, c)
			return withheld(err)
		}
		if !due {
			return nil
		}
		other := p.beginCheck(call.Target)
		if other == nil {
			break
		}
		select {
		case <-other:
		case <-ctx.Done():
			p.pushIdle(call.Target, c)
			return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.ReasonCanceled, 0)
		}
	}
	defer p.endCheck(call.Target)
	return p.sendProcessCheck(ctx, call, c)
}

// beginCheck begins a check of a target. If another one is in progress, it returns a channel that is
// closed at its end.
func (p *Pool) beginCheck(target string) (other <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.checking[target]; other != nil {
		return other
	}
	p.checking[target] = make(chan struct{})
	return nil
}

func (p *Pool) endCheck(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.checking[target])
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
	case !inTime:
		return withheld(checkCtx.Err())
	case err != nil:
		p.countHeader(err)
		c.Close()
		call.lost()
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonUnreachable, defaultRetryAfter)
	}
	if err := call.Process.Checked(time.Now(), asked, resp); err != nil {
		p.keep(call.Target, c, resp)
		return withheld(err)
	}
	if !reusableAfter(c, resp) {
		c.Close()
		return withheld(errClosedAfterCheck)
	}
	return nil
}

// withheld returns the error of a request that is not sent to its upstream now.
func withheld(err error) *verdict.Error {
	return verdict.Wrap(err, verdict.NotRun, verdict.ReasonWithheld, withheldRetryAfter)
}
