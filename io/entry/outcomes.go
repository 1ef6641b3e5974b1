package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
	"auburnlatch/core/member"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/peer"
)

const (
	// evidenceInterval is how often a VM tells others of failed requests. Each is told
	// evidenceRepeats times, as datagrams may be lost.
	evidenceInterval = 200 * time.Millisecond
	evidenceRepeats  = 2
	// maxEvidence is how many upstreams a VM tells of at a time. At 30 bytes each these are
	// 30 KB/s to each VM.
	maxEvidence = 200
	// evidenceFanout is how many VMs are told at most.
	evidenceFanout = 24
)

// outcomePublisher tells other VMs which upstreams fail this VM's requests.
type outcomePublisher struct {
	vm   *VM
	peer *peer.Datagrams
}

// loop publishes until ctx ends.
func (p *outcomePublisher) loop(ctx context.Context) {
	lifecycle.Every(ctx, evidenceInterval, p.publish)
}

// publish sends what is new to the VMs that have callers. A VM that is cut off tells nothing.
func (p *outcomePublisher) publish(now time.Time) {
	if p.vm.cutOff() {
		return
	}
	list := p.vm.balancer.Evidence(now, evidenceRepeats*evidenceInterval)
	if len(list) == 0 {
		return
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(maxEvidence, len(list))]
	p.peer.SendEvidence(p.vm.evidenceReaders(now), list)
	p.vm.counts.evidenceTold.Add(int64(len(list)))
}

// evidenceReaders returns the addresses of other VMs that have callers or, where there are few,
// of all; of some of them if there are many.
func (v *VM) evidenceReaders(now time.Time) []string {
	active := make(map[string]bool)
	for _, vm := range v.active(now).vms {
		active[vm.Name] = true
	}
	peers := v.members.Peers(now)
	all := len(peers) < broadcastBelow
	var addrs []string
	for _, m := range peers {
		if m.State == member.Live && (all || active[m.VM.Name]) {
			addrs = append(addrs, m.VM.Address.Peer)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(evidenceFanout, len(addrs))]
}

// MergeEvidence implements peer.UpstreamTable.
func (u upstreamTable) MergeEvidence(now time.Time, addr string, list []balance.Evidence) {
	u.counts.evidenceHeard.Add(int64(len(list)))
	for _, e := range u.balancer.MergeEvidence(now, addr, list) {
		u.counts.ejectedByEvidence.Add(1)
		u.requests.ejected(now, e)
	}
}

// ejected logs an ejection that follows from the evidence of other VMs.
func (l *requestLog) ejected(now time.Time, e balance.Ejection) {
	if !l.failures.take() {
		return
	}
	l.log.WithFields(logrus.Fields{
		"Target": e.Target.ID, "TargetZone": e.Target.Zone, "Service": e.Target.Service, "VMs": e.VMs, "ForMs": e.Until.Sub(now).Milliseconds(),
	}).Info("UpstreamEjected")
}
