// Package ratelimit keeps teams within their limits, which hold over all VMs together,
// without asking anybody before a request is sent on.
//
// # The parts
//
// Each VM has a part of each team's limit, in proportion to what the team asks of it. Every
// VM tells one of them, the collector, what is asked of it, and hears the totals: its share
// is what it told, of the total. So the shares of VMs that heard the same add up to one.
// Equal parts would refuse most of a small team's requests, whose callers stay at few VMs.
//
// A request has to pass three bounds:
//
//   - a window: what the VM sent in the last Window is at most its share of what a window
//     allows;
//   - a token bucket, while the known demand comes near the limit: its rates add up to
//     little more than the limit, and its depths to the rest of what a window allows, less
//     what is kept for failures. When callers move from VM to VM, windows alone would let
//     both the old VM and the new one send their whole share within one Window;
//   - a brake: all VMs also tell what they sent, and none sends more while that comes near
//     what a window allows. It makes good what was sent before a jump of the demand was known.
//
// While the known demand is low, each VM may send a few requests beyond its window, as the
// parts of a small team's limit are smaller than what comes close together by chance, and
// some of the limit is dealt out equally to the VMs that callers use, so that callers who
// move there are not refused before their demand is known.
//
// # What pays for not knowing
//
//   - Totals are up to a second old. Demand that grows meanwhile stays within the windows,
//     but for the few requests beyond them, which the brake takes in.
//   - A VM that hears no totals keeps the share it had, and no more, for holdFor; the
//     collector counts it for longer than that. Then it has an equal part of one among the
//     VMs that callers use, and the collector keeps that back for each that it does not hear.
//   - A VM that has just started has such an equal part until it hears totals; its collector
//     answers nobody before the others had time to tell it. As nobody may know what was
//     sent before, it goes by less of the window for as long as one lasts.
//   - Where two VMs take themselves for the collector as neither hears the other, each keeps
//     back the equal parts of all VMs that it does not hear.
//
// # Usage
//
//	l.SetBounds(ratelimit.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20})
//	l.SetVMs(12)                                    // How many VMs callers use.
//	if wait, ok := l.Take(now, t); !ok { ... 429, come back after wait ... }
//	l.Return(now, t)                                // It was not sent on after all.
//	collector.Told(now, "vm-a", l.Demand(now), true)  // Where the collector is.
//	collector.Look(now, teams, l.Hot)
//	l.Heard(now, collector.Total(now, asked, vms))
package ratelimit
