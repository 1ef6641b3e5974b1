package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// How the store is restored from older copies of its data.
const (
	// restoreInterval is the mean time between the end of one restore and the next.
	restoreInterval = 2500 * time.Millisecond
	// maxAway is the longest time for which the store is away before it is restored.
	maxAway = 1500 * time.Millisecond
	// maxRewriteDelay is the longest time after which the operator writes again what was lost.
	maxRewriteDelay = time.Second
	// aheadBy is how far the versions of a restored store are moved past the lost ones.
	aheadBy = 50
	// loseBy is how many versions a restore loses in addition, if it is to be long before they
	// are passed, and loseTime the time in which VMs read them.
	loseBy   = 80
	loseTime = 1200 * time.Millisecond
	// maxReadsPerVM bounds the read calls to the store in one second, times the VMs: each VM
	// has two loops that poll at most every 150 ms.
	maxReadsPerVM = 14
)

// restorer restores the store from older copies, on a schedule determined by a seed.
type restorer struct {
	fleet *fleet
	chaos *chaos
	rnd   *rand.Rand
	count int
	wait  sync.WaitGroup
}

// run restores the store until end.
func (r *restorer) run(ctx context.Context, end time.Time) {
	for ctx.Err() == nil {
		<-time.After(time.Duration(r.rnd.ExpFloat64() * float64(restoreInterval)))
		if !time.Now().Before(end) {
			break
		}
		cutFor := time.Duration(r.rnd.Int64N(int64(maxFaultDuration)))
		var cut []int
		for i := range r.fleet.vms {
			if r.rnd.IntN(4) == 0 {
				cut = append(cut, i)
			}
		}
		for _, i := range cut {
			r.wait.Go(func() { r.chaos.recordError("vmCut", r.cut(i, cutFor)) })
		}
		r.chaos.recordError("storeRestored", r.restore(r.rnd.IntN(3) == 0))
		if r.rnd.IntN(3) == 0 {
			r.chaos.recordError("storeRestored", r.restore(r.rnd.IntN(2) == 0))
		}
		if i := r.rnd.IntN(3 * len(r.fleet.vms)); i < len(r.fleet.vms) {
			r.wait.Go(func() { r.chaos.recordError("vmKilled", r.restart(i)) })
		}
		<-time.After(time.Duration(r.rnd.Int64N(int64(maxRewriteDelay))))
		r.chaos.recordError("rewrite", r.fleet.rewrite())
		if r.rnd.IntN(2) == 0 {
			r.chaos.recordError("rulesChanged", r.fleet.setConfig())
		}
	}
	r.wait.Wait()
}

// restore lets the store be away, if at all, and come back from a copy.
func (r *restorer) restore(ahead bool) error {
	q := url.Values{"copies": {strconv.Itoa(r.rnd.IntN(maxCopies))}}
	if ahead {
		q.Set("ahead", strconv.Itoa(aheadBy))
	}
	if !ahead && r.rnd.IntN(2) == 0 {
		// The copy is older than these versions.
		q.Set("copies", strconv.Itoa(maxCopies/2+r.rnd.IntN(maxCopies/2)))
		if _, err := r.fleet.control("lose", nil); err != nil {
			return err
		}
		<-time.After(loseTime)
	}
	if away := r.rnd.Int64N(int64(maxAway)); r.rnd.IntN(4) > 0 {
		if _, err := r.fleet.control("away", nil); err != nil {
			return err
		}
		<-time.After(time.Duration(away))
	}
	r.count++
	_, err := r.fleet.control("restore", q)
	return err
}

// cut drops all data between a VM and the store for d.
func (r *restorer) cut(i int, d time.Duration) error {
	lock := r.chaos.lock("storePathFaulty", i)
	lock.Lock()
	defer lock.Unlock()
	return impairPath(r.fleet.vm(i).store, int(silent)-1, d)
}

func (r *restorer) restart(i int) error {
	lock := r.chaos.lock("vmKilled", i)
	lock.Lock()
	defer lock.Unlock()
	return r.fleet.vm(i).restart(syscall.SIGKILL)
}

// control calls the control of the store and returns the response.
func (f *fleet) control(what string, q url.Values) (string, error) {
	resp, err := http.Get("http://" + f.storeAddr + "/soak/" + what + "?" + q.Encode())
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// judgeStore checks how much VMs read from the store, and that it has what they keep there.
func (f *fleet) judgeStore() (broken []string) {
	reads, err := f.control("reads", nil)
	if n, err2 := strconv.Atoi(reads); err != nil || err2 != nil || n > maxReadsPerVM*len(f.vms) {
		broken = append(broken, fmt.Sprintf("the VMs read the store %s times in one second (%v)", reads, err))
	}
	for _, table := range []string{"auburnlatch-vms", "auburnlatch-placements"} {
		rows, err := f.control("rows", url.Values{"table": {table}})
		if n, err2 := strconv.Atoi(rows); err != nil || err2 != nil || n == 0 {
			broken = append(broken, fmt.Sprintf("the store has no rows in %s (%v)", table, err))
		}
	}
	return broken
}
