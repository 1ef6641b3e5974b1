// Package ratelimit enforces the request limits of teams. A limit holds for all VMs
// together, and no message is exchanged before a request is admitted.
//
// # Shares
//
// Each VM has a share of each team's limit, in proportion to the team's demand at that VM.
// Every VM reports its demand to one of them, the collector, and receives the totals: its
// share is the demand that it reported, divided by the total. So the shares of VMs that
// received the same totals add up to one. Equal shares would refuse most requests of a
// small team, whose callers stay connected to few VMs.
//
// A request has to pass three checks:
//
//   - A sliding window: the VM admits at most its share of the window limit within the last
//     Window.
//   - A token bucket, while the known demand is close to the limit: the rates of all VMs'
//     buckets add up to little more than the limit, and their depths to the rest of the
//     window limit, less a reserve for failures. When callers move from VM to VM, windows
//     alone would let both the old VM and the new one use their whole share within one
//     Window.
//   - A global check: all VMs also report how many requests they admitted, and none admits
//     more while the sum is close to the window limit. It compensates for what was admitted
//     before a jump in demand was known.
//
// While the known demand is low, each VM may admit a few requests beyond its share of the
// window, because the shares of a small team's limit are smaller than random bursts. Part
// of the limit is then divided equally among the VMs that callers use, so that callers who
// move there are not refused before their demand is known.
//
// # Delayed and missing totals
//
//   - Totals are up to a second old. Demand that grows meanwhile stays within the windows,
//     except for the few requests beyond them, which the global check accounts for.
//   - A VM that receives no totals keeps its last share, but no longer than shareTTL; the
//     collector counts the VM's demand for longer than that. Afterwards the VM has an equal
//     share among the VMs that callers use, and the collector reserves such a share for
//     each VM from which it receives no report.
//   - What processes admitted counts until they could not have admitted it within the last
//     Window, also when they have ended. A collector keeps it for those that it knew. Each VM
//     reports the highest total that it has received within the last Window, so that a
//     collector that has just started learns what was admitted before.
//   - A VM that has just started has the same equal share until it receives totals. Its own
//     collector returns no totals before the other VMs have had time to report. As some of
//     what was admitted before the start may be unknown, the VM begins with one token and uses less
//     of the window limit for the first Window. Once it knows the demand, it assumes that the
//     processes before it met the same and admitted what the limit allows, unless the totals say more.
//     A small limit may still be exceeded if all VMs are killed in series, since each process admits
//     its first request before it knows the demand.
//   - If two VMs both act as the collector because they cannot reach each other, each
//     reserves the equal shares of all VMs from which it receives no report.
//
// # Usage
//
//	l.SetBounds(ratelimit.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20})
//	l.SetVMs(12)                                    // The number of VMs that callers use.
//	if wait, ok := l.Take(now, t); !ok { ... 429, retry after wait ... }
//	l.Return(now, t)                                // The request was not sent after all.
//	collector.Record(now, "vm-a", ratelimit.Report{Demands: l.Demand(now), Up: up}) // On the collector.
//	collector.RefreshHot(now, teams, l.Hot)
//	l.Heard(now, collector.Total(now, asked, vms))
package ratelimit
