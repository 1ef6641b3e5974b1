package vm

import (
	"expvar"
	"sync"
	"time"
)

// publishOnce publishes the metrics of the VM that starts first only: expvar has one
// registry per process, and panics if a name is published twice.
var publishOnce sync.Once

// publishMetrics publishes the VM's metrics under /debug/vars.
func (v *VM) publishMetrics() { publishOnce.Do(v.publish) }

func (v *VM) publish() {
	publish := func(name string, f func() any) { expvar.Publish(name, expvar.Func(f)) }
	publish("RequestsInFlight", func() any { return v.callers.InFlight() })
	publish("ForwardedInFlight", func() any { return v.forwarded.Load() })
	publish("SlotsInUse", func() any { return v.pool.InFlight() })
	publish("InventoryVersion", func() any { return v.config.Inventory().Version })
	publish("LiveMates", func() any { return len(v.table.Live(time.Now())) })
	publish("Poison", func() any { return v.guard.Ledger().Counts() })
	publish("OpenClaims", func() any { return len(v.callers.OpenClaims()) })
	publish("ControlBytesIn", func() any { in, _ := v.controlTraffic(); return in })
	publish("ControlBytesOut", func() any { _, out := v.controlTraffic(); return out })
}

// controlTraffic returns the bytes received and sent so far by the control protocol.
func (v *VM) controlTraffic() (in, out int64) {
	sin, sout := v.peerSrv.Traffic()
	cin, cout := v.peers.Traffic()
	return sin + cin, sout + cout
}
