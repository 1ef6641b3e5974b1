package wire

import (
	"math"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/schema"
)

// Evidence maps the outcomes of other VMs' requests.
func Evidence(list []*schema.UpstreamEvidence) []balance.Evidence {
	out := make([]balance.Evidence, 0, len(list))
	for _, m := range list {
		out = append(out, balance.Evidence{
			Target: m.GetTarget(), Born: m.GetBorn(), Answered: m.GetAnswered(), Trial: m.GetTrial(),
			SentAge: time.Duration(m.GetSentAgeMillis()) * time.Millisecond, Age: time.Duration(m.GetAgeMillis()) * time.Millisecond,
		})
	}
	return out
}

// FromEvidence maps the outcomes of this VM's requests.
func FromEvidence(list []balance.Evidence) []*schema.UpstreamEvidence {
	out := make([]*schema.UpstreamEvidence, 0, len(list))
	for _, e := range list {
		out = append(out, &schema.UpstreamEvidence{
			Target: e.Target, Born: e.Born, Answered: e.Answered, Trial: e.Trial, SentAgeMillis: ageMillis(e.SentAge), AgeMillis: ageMillis(e.Age),
		})
	}
	return out
}

func ageMillis(d time.Duration) uint32 { return uint32(min(math.MaxUint32, max(0, d.Milliseconds()))) }
