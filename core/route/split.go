package route

import (
	"math"

	"github.com/cockroachdb/errors"
)

// Pick returns the service for one request. draw is uniform in [0, 1) and independent of all
// other requests, of their objects and of what they drew.
//
// Then each part's share of any requests, over any VMs, deviates from its weight only as
// independent draws do: 0.03 is the standard deviation for 300 requests and equal weights.
// State could bring it closer, but a VM that has just started has none, and that of one version
// of the weights is wrong for the next one. The price is that both parts are sent the requests
// for an object.
func (r *Route) Pick(draw float64) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	service, left := "", draw*sum
	for _, p := range r.Parts {
		if p.Weight <= 0 {
			continue
		}
		service = p.Service
		if left -= p.Weight; left < 0 {
			break
		}
	}
	return service
}

// checkWeights returns an error if no share follows from the weights of a route's parts.
func checkWeights(parts []Part) error {
	sum := 0.0
	for _, p := range parts {
		if !(p.Weight >= 0) || math.IsInf(p.Weight, 1) {
			return errors.Newf("weight %v of service %q", p.Weight, p.Service)
		}
		sum += p.Weight
	}
	if len(parts) > 1 && (sum == 0 || math.IsInf(sum, 1)) {
		return errors.Newf("weights with the sum %v", sum)
	}
	return nil
}
