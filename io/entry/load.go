package entry

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
)

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
