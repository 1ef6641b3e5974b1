package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"auburnlatch/io/lifecycle"
)

const (
	// killCalm is the time without lost responses before the first kills, in which VMs save up
	// as many retries as they may.
	killCalm = retryWindow
	// minKillGap and maxKillGap are the bounds of the time between two kills, and between the
	// first one and the time from which responses are lost.
	minKillGap = 1500 * time.Millisecond
	maxKillGap = 2500 * time.Millisecond
	// maxKills is the most kills in a series.
	maxKills = 3
	// killTail is how long responses are lost after the last kill.
	killTail = 7 * time.Second
	// minLost and maxLost are the bounds of the share of responses that are lost.
	minLost, maxLost = 0.7, 0.9
	// pacedInterval is the time between two requests of a caller. Without it callers whose
	// requests fail early would send more, which raises the limit on retries.
	pacedInterval = 60 * time.Millisecond
	// killOnce is the number of requests of which one must run at most once. Only the others are
	// retried when their responses are lost.
	killOnce = 8
)

// killer resets most responses of all upstreams, and kills most VMs at once meanwhile.
type killer struct {
	fleet *fleet
	chaos *chaos
	rnd   *rand.Rand
	count int
}

// run kills VMs in series until end.
func (k *killer) run(ctx context.Context, end time.Time) {
	for lifecycle.Sleep(ctx, killCalm) && time.Now().Before(end) {
		k.lose(minLost + (maxLost-minLost)*k.rnd.Float64())
		for range 1 + k.rnd.IntN(maxKills) {
			lifecycle.Sleep(ctx, minKillGap+time.Duration(k.rnd.Int64N(int64(maxKillGap-minKillGap))))
			k.killVMs(0.6 + 0.4*k.rnd.Float64())
		}
		lifecycle.Sleep(ctx, killTail)
		k.lose(0)
	}
}

// lose sets the share of responses that are lost.
func (k *killer) lose(share float64) {
	for _, u := range k.fleet.upstreams {
		u.path.lost.Store(int32(share * 100))
	}
}

// killVMs kills a share of the VMs at once, and starts them again.
func (k *killer) killVMs(share float64) {
	var wait sync.WaitGroup
	for _, i := range k.rnd.Perm(len(k.fleet.vms))[:int(share*float64(len(k.fleet.vms)))] {
		wait.Add(1)
		go (&kill{k, i, &wait}).run()
	}
	wait.Wait()
	k.count++
}

// kill is the kill of one VM.
type kill struct {
	killer *killer
	vm     int
	wait   *sync.WaitGroup
}

func (k *kill) run() {
	defer k.wait.Done()
	lock := k.killer.chaos.lock("vmKilled", k.vm)
	lock.Lock()
	defer lock.Unlock()
	k.killer.chaos.recordError("vmKilled", k.killer.fleet.vm(k.vm).restart(syscall.SIGKILL))
}
