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
	// probeInterval is the time between two probes of the rules in force.
	probeInterval = 40 * time.Millisecond
	// maxRulesDelay is the time after which rules must be in force on a running VM: 2 s
	// for which the VM may be suspended, 2 s of an impaired path to the store, and the
	// time to propagate the rules from VM to VM, with the same again as margin.
	maxRulesDelay = 7 * time.Second
	// regressionSlack is the least time between a response by newer rules and the sending
	// of a request that is answered by older rules, for the latter to be an error.
	regressionSlack = 250 * time.Millisecond
)

// version is one version of the rules as the operator wrote it.
type version struct {
	number            int
	started, finished time.Time // Before and after the write, which may have failed.
}

// probe is the result of asking a VM whether a version of the rules is in force.
type probe struct {
	vm             string
	incarnation    int32
	version        int
	status         int
	intact         bool // The response is complete and belongs to the request.
	sent, answered time.Time
}

// prober requests from VMs the route that only one version of the rules has.
type prober struct {
	fleet  *fleet
	rnd    *rand.Rand
	client *http.Client
	wait   *sync.WaitGroup
	probes []probe
}

// run sends probes until ctx is done.
func (p *prober) run(ctx context.Context) {
	defer p.wait.Done()
	for n := 0; ctx.Err() == nil; n++ {
		versions := p.fleet.versionsSoFar()
		newest := versions[len(versions)-1].number
		p.ask(fmt.Sprint("p-", n), max(1, newest-p.rnd.IntN(2)))
		<-time.After(probeInterval)
	}
}

// ask probes one VM. A probe without a response is discarded.
func (p *prober) ask(id string, number int) {
	v := p.fleet.vms[p.rnd.IntN(len(p.fleet.vms))]
	req, err := http.NewRequest(http.MethodGet, "http://"+v.front+standin.VersionPath(number), http.NoBody)
	if err != nil {
		return
	}
	req.Host = "h"
	req.Header.Set(platform.Protocol().RequestID, id)
	found := probe{vm: v.name, incarnation: v.starts.Load(), version: number, sent: time.Now()}
	p.fleet.ledger.recordProbe(id, v)
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
	found.intact = resp.StatusCode != http.StatusOK || string(body) == standin.Answer(id, nil)
	p.probes = append(p.probes, found)
}

// judgeRules checks that rules were in force in time and that no process of a VM
// returned to older rules.
func judgeRules(probes []probe, versions []version) (broken []string) {
	at := make(map[int]version, len(versions))
	for _, v := range versions {
		at[v.number] = v
	}
	newest := make(map[string]probe) // The newest version seen, by VM and incarnation.
	for _, p := range probes {
		who := fmt.Sprint(p.vm, "/", p.incarnation)
		next, replaced := at[p.version+1]
		switch {
		case p.status == http.StatusNotFound && p.sent.Sub(at[p.version].finished) > maxRulesDelay && !(replaced && next.started.Before(p.answered)):
			broken = append(broken, fmt.Sprintf("version %d not in force %v after it was accepted: %s", p.version, p.sent.Sub(at[p.version].finished).Round(time.Millisecond), p.vm))
		case p.status == http.StatusOK && replaced && p.sent.Sub(next.finished) > maxRulesDelay:
			broken = append(broken, fmt.Sprintf("version %d still in force %v after the next was accepted: %s", p.version, p.sent.Sub(next.finished).Round(time.Millisecond), p.vm))
		}
		if !p.intact {
			broken = append(broken, "the response was incomplete or another request's: "+p.vm)
		}
		if p.status != http.StatusOK {
			continue
		}
		seen, ok := newest[who]
		if ok && p.version < seen.version && p.sent.Sub(seen.answered) > regressionSlack {
			broken = append(broken, fmt.Sprintf("%s went back from version %d to %d", p.vm, seen.version, p.version))
		}
		if !ok || p.version > seen.version {
			newest[who] = p
		}
	}
	return broken
}

// The limit on arrivals after the first one of each request, over all VMs. It is part of
// the VMs' settings.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retryExtra  = 60
	// retryStep is the distance between the starts of the windows that are checked.
	retryStep = 500 * time.Millisecond
)

// judgeRetries checks the limit in sliding windows. The base is the largest of the numbers
// of requests in the window itself, in the one that starts half a window earlier, and in
// the one that starts a whole window earlier.
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
			return []string{fmt.Sprintf("%d arrivals in ten seconds were repeats, with %d requests", n, base)}
		}
	}
	return nil
}

// checkCounts lists the counts of what was checked.
func (r *result) checkCounts() string {
	return strings.Join([]string{
		fmt.Sprintf("%d rules probed", r.probed), fmt.Sprintf("%d versions", r.versions), fmt.Sprintf("%d sent again", r.repeats),
		fmt.Sprintf("%d poison requests run", r.poisoned), fmt.Sprintf("%d restores, %d cuts, %d kills", r.restores, r.cuts, r.kills),
		fmt.Sprintf("%d turns to cold with up to %d requests a second, %d health checks, up to %d a second", r.colds, r.mostCold, r.checks, r.mostChecks),
	}, ", ")
}
