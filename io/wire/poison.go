package wire

import (
	"time"

	"auburnlatch/core/poison"
	"auburnlatch/schema"
)

// maxRunAge is the greatest age of a received run or clearance; older ones are taken for this
// old. Records of that age have no effect.
const maxRunAge = 24 * time.Hour

// Poison maps a VM's update on requests that crash upstreams; now is when it was received.
// Records without a valid fingerprint are left out.
func Poison(now time.Time, m *schema.PoisonNews) poison.News {
	n := poison.News{Bans: bans(m.GetBans()), Kept: bans(m.GetKept())}
	for _, r := range m.GetRuns() {
		p, ok := poison.PrintFromBytes(r.GetPrint())
		began, ended := clampAge(r.GetBeganAgoMillis()), clampAge(r.GetEndedAgoMillis())
		if !ok || r.GetTarget() == "" || began < ended {
			continue
		}
		n.Runs = append(n.Runs, poison.Run{Print: p, Target: r.GetTarget(), Began: now.Add(-began), Ended: now.Add(-ended), Alone: r.GetAlone(), Over: r.GetAnswered()})
	}
	for _, t := range m.GetTried() {
		if p, ok := poison.PrintFromBytes(t.GetPrint()); ok {
			n.Tried = append(n.Tried, poison.TrialUpdate{Print: p, Target: t.GetTarget()})
		}
	}
	for _, c := range m.GetServed() {
		if p, ok := poison.PrintFromBytes(c.GetPrint()); ok {
			n.Served = append(n.Served, poison.Clearance{Print: p, Began: now.Add(-clampAge(c.GetBeganAgoMillis())), Answered: now.Add(-clampAge(c.GetAnsweredAgoMillis()))})
		}
	}
	return n
}

func clampAge(ms int64) time.Duration {
	return min(maxRunAge, time.Duration(min(max(0, ms), maxRunAge.Milliseconds()))*time.Millisecond)
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

// FromPoison maps an update on requests that crash upstreams; now is when it is sent.
func FromPoison(now time.Time, n poison.News) *schema.PoisonNews {
	m := &schema.PoisonNews{Bans: fromBans(n.Bans), Kept: fromBans(n.Kept)}
	for _, r := range n.Runs {
		m.Runs = append(m.Runs, &schema.PoisonRun{
			Print: r.Print.Bytes(), Target: r.Target,
			BeganAgoMillis: now.Sub(r.Began).Milliseconds(), EndedAgoMillis: now.Sub(r.Ended).Milliseconds(),
			Alone: r.Alone, Answered: r.Over,
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
