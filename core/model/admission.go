package model

import (
	"strconv"
	"time"

	"auburnlatch/core/admission"
	"auburnlatch/core/balance"
)

// UrgentPolicy is the production Balancer without admission: requests of the highest rank are
// urgent.
type UrgentPolicy struct{ *BalancerPolicy }

// NewUrgentPolicy returns an UrgentPolicy.
func NewUrgentPolicy(shape Shape) UrgentPolicy { return UrgentPolicy{NewBalancerPolicy(shape)} }

// request returns a request of a class.
func (p UrgentPolicy) request(class int, key string) balance.Request {
	c := p.shape.Classes[class]
	return balance.Request{Service: service, Key: key, Urgent: c.Rank == 0, Objective: c.Objective, Within: c.Objective}
}

// ChooseClass implements ClassPolicy.
func (p UrgentPolicy) ChooseClass(now time.Time, vm, class int, key string, _ State) (int, balance.Lease) {
	return p.choose(now, vm, p.request(class, key))
}

// Answered implements ClassPolicy.
func (UrgentPolicy) Answered(time.Time, int, int, balance.Lease, time.Duration) {}

// AdmissionPolicy is the production Balancer and admission, one of each for each VM.
type AdmissionPolicy struct {
	UrgentPolicy
	// Use returns the use of a class's limit as a VM knows it; nil: unknown.
	Use         func(now time.Time, vm, class int) float64
	controllers []admission.Controller
	decided     int
}

// NewAdmissionPolicy returns an AdmissionPolicy whose Balancers and Controllers have no state.
func NewAdmissionPolicy(shape Shape) *AdmissionPolicy {
	return &AdmissionPolicy{UrgentPolicy: NewUrgentPolicy(shape), controllers: make([]admission.Controller, shape.VMs)}
}

// ChooseClass implements ClassPolicy.
func (p *AdmissionPolicy) ChooseClass(now time.Time, vm, class int, key string, _ State) (int, balance.Lease) {
	c, req := p.shape.Classes[class], p.request(class, key)
	p.decided++
	ask := admission.Request{Service: service, Rank: admission.Rank{Priority: c.Rank}, ID: strconv.Itoa(p.decided), Objective: c.Objective, Within: c.Objective}
	if p.Use != nil {
		ask.Use = p.Use(now, vm, class)
	}
	d := p.controllers[vm].Decide(now, p.vms[vm].Utilization(now, service), ask)
	req.Depth = d.Depth
	i, lease := p.choose(now, vm, req)
	p.controllers[vm].Record(now, ask, d, i >= 0)
	return i, lease
}

// Answered implements ClassPolicy.
func (p *AdmissionPolicy) Answered(now time.Time, vm, class int, lease balance.Lease, took time.Duration) {
	slots := float64(p.shape.Slots)
	ask := admission.Request{Service: service, Rank: admission.Rank{Priority: p.shape.Classes[class].Rank}}
	p.controllers[vm].Answered(now, ask, time.Duration(float64(took)*slots/max(slots, lease.Ahead+1)))
}
