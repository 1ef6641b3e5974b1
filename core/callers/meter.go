package callers

import (
	"sync"
	"time"

	"auburnlatch/core/member"
)

const (
	// averageWindow is the time constant of the moving average of traffic.
	averageWindow = 2 * time.Second
	// riseFactor and fallFactor are the ratios of the average to the published
	// traffic beyond which the average is published anew. Smaller changes are not, as
	// each one is sent to all VMs.
	riseFactor, fallFactor = 1.3, 0.6
	// minPublished is the traffic in requests per second below which a VM publishes
	// none: a few test requests do not make it a VM that callers use.
	minPublished = 4.0
)

// Meter measures the traffic of a VM's callers. The zero value is ready to use. It is
// safe for concurrent use.
type Meter struct {
	mu        sync.Mutex
	requests  float64 // Since sampled.
	bytes     float64 // Since sampled.
	sampled   time.Time
	average   member.Traffic
	published member.Traffic
}

// Add counts a request with the bytes of its body and of the response's.
func (m *Meter) Add(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	m.bytes += float64(bytes)
}

// Traffic updates the average and returns the traffic to publish. It is to be called
// periodically.
func (m *Meter) Traffic(now time.Time) member.Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sampled.IsZero() {
		m.sampled = now
	}
	if span := now.Sub(m.sampled); span > 0 {
		part := min(1, float64(span)/float64(averageWindow))
		m.average.Requests += part * (m.requests/span.Seconds() - m.average.Requests)
		m.average.Bytes += part * (m.bytes/span.Seconds() - m.average.Bytes)
		m.requests, m.bytes, m.sampled = 0, 0, now
	}
	if changed(m.published.Requests, m.average.Requests) || changed(m.published.Bytes, m.average.Bytes) {
		m.published = m.average
		if m.average.Requests < minPublished {
			m.published = member.Traffic{}
		}
	}
	return m.published
}

// Average returns the average traffic as of the last call of Traffic.
func (m *Meter) Average() member.Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.average
}

// changed reports whether an average is so far from the published value that it has to be
// published.
func changed(published, average float64) bool {
	return average > riseFactor*published || average < fallFactor*published
}
