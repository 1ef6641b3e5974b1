package vm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/leave"
	"auburnlatch/core/member"
	"auburnlatch/io/keepalive"
	"auburnlatch/io/lifecycle"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// lastExchangeTimeout bounds the last exchanges with the zone peers.
	lastExchangeTimeout = 2 * time.Second
	// answerMargin is the time before the end of the grace period in which requests still in
	// flight get a final response, but no more than answerMarginFraction of the period.
	answerMargin         = time.Second
	answerMarginFraction = 0.1
	// lastReplyTimeout bounds the replies to operators that are still on their way.
	lastReplyTimeout = 2 * time.Second
)

// errStopGrace is returned if requests are still in flight at the end of the stop's
// grace period. If only claims are left to settle, the error is that of the context.
var errStopGrace = errors.New("requests were still in flight when the stop's grace period ended")

// leave stops the VM gracefully. The VM takes requests until the TTL of all look-ups
// that name it has passed, as callers may use a cached look-up until then. After
// that it refuses new requests with NotRun and waits for those in flight, for at
// most the stop's grace period. From the start on it refuses those that could not end by then.
func (v *VM) leave(callerSrv, forwardSrv *keepalive.Server) error {
	v.leaving.Store(true)
	v.log.Info("VMLeaving")
	now := time.Now()
	grace := v.cfg.Timing.StopGrace
	serving := v.cfg.Timing.LookupTTL + 2*v.cfg.Timing.Heartbeat
	end := now.Add(serving + grace - min(answerMargin, lifecycle.Share(grace, answerMarginFraction)))
	v.router.Stop(leave.Stop{Began: now, End: end})
	v.heartbeat(now)
	v.refreshLookups(now)
	time.Sleep(serving)
	v.callers.Refuse()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	work, endWork := context.WithDeadline(ctx, end)
	defer endWork()
	err := v.waitIdle(work)
	if err != nil {
		v.callers.EndWork()
	}
	if answered := v.waitIdle(ctx); answered == nil {
		_ = callerSrv.Shutdown(ctx)
		_ = forwardSrv.Shutdown(ctx)
	} else {
		_ = callerSrv.Close()
		_ = forwardSrv.Close()
	}
	if err == nil {
		err = v.callers.Settled(ctx)
	}
	v.publishReleased()
	v.log.WithFields(logrus.Fields{"Took": time.Since(now), "Err": err}).Info("VMLeft")
	return err
}

// waitIdle waits until nothing is in flight.
func (v *VM) waitIdle(ctx context.Context) error {
	for v.callers.InFlight() > 0 || v.forwarded.Load() > 0 || v.pool.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return errStopGrace
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}

// publishReleased exchanges with all zone peers once more, so that they learn that
// this VM holds no slots any more. They can then take over its slots before the
// platform's list says that it is gone.
func (v *VM) publishReleased() {
	ctx, cancel := context.WithTimeout(context.Background(), lastExchangeTimeout)
	defer cancel()
	now := time.Now()
	v.heartbeat(now)
	for _, m := range v.table.Peers(now) {
		if m.State == member.Live || m.State == member.Leaving {
			_ = v.peers.Exchange(ctx, m.VM.Address.Peer, v.table, v.cfg.Zone, member.Scope{Zone: v.cfg.Zone})
		}
	}
}
