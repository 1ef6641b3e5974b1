package entry

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
	"auburnlatch/core/throttle"
)

// notice returns what an upstream says of itself in the header of an answer.
func (v *VM) notice(h http.Header) balance.Notice {
	var n balance.Notice
	if name := v.protocol.Limit; name != "" {
		n.Limit = limitOf(h.Values(name))
	}
	return n
}

// limitOf parses the limit that the values of a field name. Of several the lowest holds.
func limitOf(values []string) throttle.Notice {
	n := throttle.Notice{}
	for _, text := range values {
		perSecond, ok := decimal(text)
		switch {
		case !ok && n.Kind == throttle.None:
			n.Kind = throttle.Unreadable
		case ok && (n.Kind != throttle.Named || perSecond < n.PerSecond):
			n = throttle.Notice{Kind: throttle.Named, PerSecond: perSecond}
		}
	}
	return n
}

// decimal parses a decimal number that is not negative, without an exponent.
func decimal(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(x, 0) {
		return 0, false
	}
	return x, true
}

// heard logs what an upstream says of itself, where that is new.
func (l *requestLog) heard(lease balance.Lease, n balance.Notice) {
	f := logrus.Fields{"Target": lease.Target.ID, "Addr": lease.Target.Addr, "TargetZone": lease.Target.Zone, "Service": lease.Target.Service}
	if n.Limit.Kind == throttle.Named {
		f["LimitPerSecond"] = n.Limit.PerSecond
	}
	l.log.WithFields(f).Info("UpstreamNotice")
}
