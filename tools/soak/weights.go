package main

import (
	"fmt"
	"math"
	"time"
)

const (
	// otherUpstreams is the number of upstreams of the second service.
	otherUpstreams = 4
	// seriesLength is the least number of versions in series, each seriesGap after the one before.
	seriesLength = 3
	seriesGap    = 50 * time.Millisecond
	// calmRulesDelay is the time after which rules must be in force when all faults are over.
	calmRulesDelay = 2 * time.Second
	// From minSplit requests on a share may deviate by maxSplitOff, and from manySplit on by
	// manySplitOff.
	minSplit, maxSplitOff   = 200, 0.2
	manySplit, manySplitOff = 400, 0.1
)

// weightsOf returns the weights of the two services in a version of the rules. Even versions have
// even weights: what follows from others is furthest off.
func weightsOf(version int) [2]int {
	return [...][2]int{{50, 50}, {10, 90}, {50, 50}, {90, 10}}[version%4]
}

// changeWeights puts versions of the rules in force in quick succession, the last one even or odd.
func (f *fleet) changeWeights(even bool) error {
	for n := 0; n < seriesLength || (len(f.versionsSoFar())%2 == 0) != even; n++ {
		if err := f.setConfig(); err != nil {
			return err
		}
		<-time.After(seriesGap)
	}
	return nil
}

// judgeSplits checks the shares of the split route in the time in which only one version can be in
// force. last is the time from which the last one is.
func (l *ledger) judgeSplits(versions []version, last time.Time) (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, v := range versions {
		from, to := v.finished.Add(maxRulesDelay), last.Add(time.Hour)
		if i+1 < len(versions) {
			to = versions[i+1].started
		} else {
			from = last
		}
		n, other := 0, 0
		for _, e := range l.entries {
			if !e.split || e.arrivals == 0 || e.at.Before(from) || e.at.After(to) {
				continue
			}
			n++
			if e.other {
				other++
			}
		}
		if text := judgeShare(v.number, n, other); text != "" {
			broken = append(broken, text)
		}
	}
	return broken
}

// judgeShare checks the second service's share of n requests by a version.
func judgeShare(version, n, other int) string {
	w := weightsOf(version)
	want, allowed := float64(w[1])/float64(w[0]+w[1]), maxSplitOff
	if n < minSplit {
		return ""
	}
	if n >= manySplit {
		allowed = manySplitOff
	}
	if share := float64(other) / float64(n); math.Abs(share-want) > allowed {
		return fmt.Sprintf("version %d: the second service got %.2f of %d requests, its weight is %.2f", version, share, n, want)
	}
	return ""
}
