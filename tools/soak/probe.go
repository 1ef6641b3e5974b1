package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"auburnlatch/platform"
	"auburnlatch/platform/standin"
)

const (
	// probeEvery is the time between two questions which rules are in force.
	probeEvery = 40 * time.Millisecond
	// inForceAfter is when rules must be in force on a VM that runs: two seconds of
	// a pause, two of a faulty path to the store, and the time that the word takes
	// from VM to VM, with as much to spare.
	inForceAfter = 7 * time.Second
	// backSlack is how much later than an answer by newer rules a request must have
	// been sent for an answer by older ones to be a step back.
	backSlack = 250 * time.Millisecond
)

// version is one version of the rules as the operator wrote it.
type version struct {
	number         int
	begun, settled time.Time // settled: accepted by the store.
}

// probe is one answer to the question whether a version is in force.
type probe struct {
	vm             string
	life           int32
	version        int
	status         int
	whole          bool // The answer is the question's own and whole.
	sent, answered time.Time
}

// prober asks VMs for the route that only one version of the rules has.
type prober struct {
	fleet  *fleet
	rnd    *rand.Rand
	client *http.Client
	wait   *sync.WaitGroup
	probes []probe
}

// run asks until ctx ends.
func (p *prober) run(ctx context.Context) {
	defer p.wait.Done()
	for n := 0; ctx.Err() == nil; n++ {
		versions := p.fleet.versionsSoFar()
		newest := versions[len(versions)-1].number
		p.ask(fmt.Sprint("p-", n), max(1, newest-p.rnd.IntN(2)))
		<-time.After(probeEvery)
	}
}

// ask asks one VM. What is not answered tells nothing.
func (p *prober) ask(id string, number int) {
	v := p.fleet.vms[p.rnd.IntN(len(p.fleet.vms))]
	req, err := http.NewRequest(http.MethodGet, "http://"+v.front+standin.VersionPath(number), http.NoBody)
	if err != nil {
		return
	}
	req.Host = "h"
	req.Header.Set(platform.Protocol().RequestID, id)
	found := probe{vm: v.name, life: v.lives.Load(), version: number, sent: time.Now()}
	p.fleet.ledger.probed(id, v)
	resp, err := p.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	found.status, found.answered = resp.StatusCode, time.Now()
	found.whole = resp.StatusCode != http.StatusOK || string(body) == standin.Answer(id, nil)
	p.probes = append(p.probes, found)
}

// judgeRules checks that rules were in force in time, and that no process of a VM
// went back to older ones.
func judgeRules(probes []probe, versions []version) (broken []string) {
	at := make(map[int]version, len(versions))
	for _, v := range versions {
		at[v.number] = v
	}
	newest := make(map[string]probe) // By VM and life: the newest version seen there.
	for _, p := range probes {
		who := fmt.Sprint(p.vm, "/", p.life)
		next, replaced := at[p.version+1]
		switch {
		case p.status == http.StatusNotFound && p.sent.Sub(at[p.version].settled) > inForceAfter && !(replaced && next.begun.Before(p.answered)):
			broken = append(broken, fmt.Sprintf("version %d not in force %v after it was accepted: %s", p.version, p.sent.Sub(at[p.version].settled).Round(time.Millisecond), p.vm))
		case p.status == http.StatusOK && replaced && p.sent.Sub(next.settled) > inForceAfter:
			broken = append(broken, fmt.Sprintf("version %d still in force %v after the next was accepted: %s", p.version, p.sent.Sub(next.settled).Round(time.Millisecond), p.vm))
		}
		if !p.whole {
			broken = append(broken, "an answer was not whole or not the request's own: "+p.vm)
		}
		if p.status != http.StatusOK {
			continue
		}
		seen, ok := newest[who]
		if ok && p.version < seen.version && p.sent.Sub(seen.answered) > backSlack {
			broken = append(broken, fmt.Sprintf("%s went back from version %d to %d", p.vm, seen.version, p.version))
		}
		if !ok || p.version > seen.version {
			newest[who] = p
		}
	}
	return broken
}

// The bound on arrivals beyond the first of each request, over all VMs. It goes into
// the VMs' settings.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retryExtra  = 60
	// retryStep is how finely windows are looked at.
	retryStep = 500 * time.Millisecond
)

// judgeRetries checks the bound in sliding windows. The requests are those of the
// window, of the one before, or of the one half a window before.
func judgeRetries(requests, repeats []time.Time) (broken []string) {
	if len(repeats) == 0 {
		return nil
	}
	count := func(list []time.Time, from time.Time) (n int) {
		for _, t := range list {
			if !t.Before(from) && t.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	last := repeats[len(repeats)-1]
	for from := repeats[0].Add(-retryWindow); from.Before(last); from = from.Add(retryStep) {
		base := max(count(requests, from), count(requests, from.Add(-retryWindow/2)), count(requests, from.Add(-retryWindow)))
		if n := count(repeats, from); float64(n) > retryRatio*float64(base)+retryExtra {
			return []string{fmt.Sprintf("%d requests were sent again in ten seconds of %d", n, base)}
		}
	}
	return nil
}

// promises names what is checked, with counts.
func (r *result) promises() string {
	return strings.Join([]string{
		fmt.Sprintf("%d rules probed", r.probed), fmt.Sprintf("%d versions", r.versions), fmt.Sprintf("%d sent again", r.sentAgain),
		fmt.Sprintf("%d upstreams ended under a request", r.poisoned),
	}, ", ")
}
