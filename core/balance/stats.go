package balance

import "time"

// serviceStats has the mean and mean deviation of the response times of a service, over all its
// targets.
type serviceStats struct {
	mean, deviation time.Duration
	answers         int
}

// Parameters of serviceStats. The weights and the factor are those of TCP's retransmission
// timeout.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	lateDeviations  = 4
	// defaultLateAfter applies until a service has responded minAnswers times: twice the usual
	// time for a new object at the slowest known service.
	defaultLateAfter = 3 * time.Second
)

func (s *serviceStats) observe(took time.Duration) {
	s.answers++
	if s.answers == 1 {
		s.mean, s.deviation = took, took/2
		return
	}
	diff := took - s.mean
	s.mean += time.Duration(meanWeight * float64(diff))
	s.deviation += time.Duration(deviationWeight * float64(diff.Abs()-s.deviation))
}

// lateAfter is the time after which a response is unusually late.
func (s *serviceStats) lateAfter() time.Duration {
	if s.answers < minAnswers {
		return defaultLateAfter
	}
	return s.mean + lateDeviations*s.deviation
}
