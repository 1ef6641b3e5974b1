package vm

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/dispatch"
	"auburnlatch/io/lifecycle"
)

// sweepInterval is the interval between sweeps of old claims.
const sweepInterval = time.Hour

// sweepLoop deletes claims whose retention has ended. One VM of the whole system
// does so. If two VMs do so at the same time, they delete the same rows, which does
// no harm.
func (v *VM) sweepLoop(ctx context.Context) {
	lifecycle.Every(ctx, sweepInterval, func(now time.Time) {
		if !v.sweeps(now) {
			return
		}
		n, err := v.claims.Sweep(ctx, now)
		if n > 0 || err != nil {
			v.log.WithFields(logrus.Fields{"Rows": n, "Err": err}).Info("ClaimsSwept")
		}
	})
}

// sweeps reports whether this VM is the one that sweeps.
func (v *VM) sweeps(now time.Time) bool {
	var zones []string
	for _, z := range v.config.Inventory().Zones {
		zones = append(zones, z.Name)
	}
	return len(zones) > 0 && dispatch.Rank("sweep", zones)[0] == v.cfg.Zone && v.represents(now, 1)
}
