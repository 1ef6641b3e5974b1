package vm

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/member"
)

const (
	drainPoll = 20 * time.Millisecond
	// lastExchange bounds the telling of the mates that all is done.
	lastExchange = 2 * time.Second
)

// errGrace is returned where requests were still in flight when the time for a
// graceful stop was over. With claims left to settle it is ctx's own error.
var errGrace = errors.New("requests were still in flight when the stop's grace period ended")

// leave stops the VM without cutting anything off. It goes on taking requests
// for as long as a look-up that names it may be cached: a caller that was sent
// here must not find a closed door. Then it refuses new ones, which did not
// run, and waits for those in flight.
func (v *VM) leave(callerSrv, forwardSrv *http.Server) error {
	v.leaving.Store(true)
	v.log.Info("VMLeaving")
	now := time.Now()
	v.beat(now)
	v.refreshLookups(now)
	time.Sleep(v.cfg.Timing.LookupTTL + 2*v.cfg.Timing.Heartbeat)
	v.callers.Refuse()
	ctx, cancel := context.WithTimeout(context.Background(), v.cfg.Timing.StopGrace)
	defer cancel()
	err := v.waitIdle(ctx)
	if err == nil {
		_ = callerSrv.Shutdown(ctx)
		_ = forwardSrv.Shutdown(ctx)
	} else {
		_ = callerSrv.Close()
		_ = forwardSrv.Close()
	}
	if err == nil {
		err = v.callers.Settled(ctx)
	}
	v.sayGone()
	v.log.WithFields(logrus.Fields{"Took": time.Since(now), "Err": err}).Info("VMLeft")
	return err
}

// waitIdle waits until nothing is in flight.
func (v *VM) waitIdle(ctx context.Context) error {
	for v.callers.InFlight() > 0 || v.forwarded.Load() > 0 || v.pool.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return errGrace
		case <-time.After(drainPoll):
		}
	}
	return nil
}

// sayGone tells the mates that nothing is held any more, so that they need not
// wait for the platform's list to take the slots over.
func (v *VM) sayGone() {
	ctx, cancel := context.WithTimeout(context.Background(), lastExchange)
	defer cancel()
	now := time.Now()
	v.beat(now)
	for _, m := range v.table.Peers(now) {
		if m.State == member.Live || m.State == member.Leaving {
			_ = v.peers.Exchange(ctx, m.VM.Address.Peer, v.table, v.cfg.Zone, member.Scope{Zone: v.cfg.Zone})
		}
	}
}
