package wire

import (
	"time"

	"auburnlatch/core/poison"
	"auburnlatch/schema"
)

// maxAgo bounds how long ago a run may be said to have ended: what is older counts for
// nothing any more.
const maxAgo = 24 * time.Hour

// Poison maps what a VM tells of requests under which upstreams end; now is when it
// arrived. What names no request is left out.
func Poison(now time.Time, m *schema.PoisonNews) poison.News {
	n := poison.News{Bans: bans(m.GetBans()), Kept: bans(m.GetKept())}
	for _, r := range m.GetRuns() {
		p, ok := poison.PrintFromBytes(r.GetPrint())
		began, ended := ago(r.GetBeganAgoMillis()), ago(r.GetEndedAgoMillis())
		if !ok || r.GetTarget() == "" || began < ended {
			continue
		}
		n.Runs = append(n.Runs, poison.Run{Print: p, Target: r.GetTarget(), Began: now.Add(-began), Ended: now.Add(-ended), Alone: r.GetAlone(), Answered: r.GetAnswered()})
	}
	for _, t := range m.GetTried() {
		if p, ok := poison.PrintFromBytes(t.GetPrint()); ok {
			n.Tried = append(n.Tried, poison.TrialUpdate{Print: p, Target: t.GetTarget()})
		}
	}
	for _, c := range m.GetServed() {
		if p, ok := poison.PrintFromBytes(c.GetPrint()); ok {
			n.Served = append(n.Served, poison.Clearance{Print: p, Began: now.Add(-ago(c.GetBeganAgoMillis())), Answered: now.Add(-ago(c.GetAnsweredAgoMillis()))})
		}
	}
	return n
}

func ago(ms int64) time.Duration {
	return min(maxAgo, time.Duration(min(max(0, ms), maxAgo.Milliseconds()))*time.Millisecond)
}

func bans(list []*schema.PoisonBan) []poison.Ban {
	var out []poison.Ban
	for _, b := range list {
		if p, ok := poison.PrintFromBytes(b.GetPrint()); ok {
			out = append(out, poison.Ban{Print: p, At: b.GetAt(), Lifted: b.GetLifted()})
		}
	}
	return out
}

// FromPoison maps what this VM tells; now is when it is sent.
func FromPoison(now time.Time, n poison.News) *schema.PoisonNews {
	m := &schema.PoisonNews{Bans: fromBans(n.Bans), Kept: fromBans(n.Kept)}
	for _, r := range n.Runs {
		m.Runs = append(m.Runs, &schema.PoisonRun{
			Print: r.Print.Bytes(), Target: r.Target,
			BeganAgoMillis: now.Sub(r.Began).Milliseconds(), EndedAgoMillis: now.Sub(r.Ended).Milliseconds(),
			Alone: r.Alone, Answered: r.Answered,
		})
	}
	for _, t := range n.Tried {
		m.Tried = append(m.Tried, &schema.PoisonTry{Print: t.Print.Bytes(), Target: t.Target})
	}
	for _, c := range n.Served {
		m.Served = append(m.Served, &schema.PoisonClearance{Print: c.Print.Bytes(), BeganAgoMillis: now.Sub(c.Began).Milliseconds(), AnsweredAgoMillis: now.Sub(c.Answered).Milliseconds()})
	}
	return m
}

func fromBans(list []poison.Ban) []*schema.PoisonBan {
	var out []*schema.PoisonBan
	for _, b := range list {
		out = append(out, &schema.PoisonBan{Print: b.Print.Bytes(), At: b.At, Lifted: b.Lifted})
	}
	return out
}
