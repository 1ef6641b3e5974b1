package entry

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
	"auburnlatch/io/settings"
)

// paceUse returns the use of the pace that a setting asks for.
func paceUse(s settings.Switch) balance.PaceUse {
	switch s {
	case settings.On:
		return balance.PaceAlways
	case settings.Off:
		return balance.PaceNever
	default:
		return balance.PaceIfReported
	}
}

// reportedLoad returns the load that an upstream reports in a response, or nil if it reports none.
// One that cannot be read is counted and says nothing: the upstream's last load ages. Only the
// first is logged, as an upstream of another build sends one in each response.
func (v *VM) reportedLoad(lease balance.Lease, h http.Header) *balance.Load {
	if v.protocol.ParseLoad == nil {
		return nil
	}
	l, err := v.protocol.ParseLoad(h.Values(v.protocol.Load))
	if err == nil {
		return l
	}
	if v.counts.loadsUnreadable.Add(1) == 1 {
		v.log.WithFields(logrus.Fields{"Target": lease.Target.ID, "Service": lease.Target.Service, "Err": err}).Warn("LoadUnreadable")
	}
	return nil
}
