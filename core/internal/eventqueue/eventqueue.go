// Package eventqueue runs functions in order of simulated time.
//
// # Usage
//
//	var q eventqueue.Queue
//	q.Add(start.Add(time.Second), func(now time.Time) { ... })   // May add more.
//	q.Run(end)
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds functions to run at given times. Those with the same time run in the order in which
// they were added. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	events events
	added  int
}

// Add schedules a function for a time, which is passed to it.
func (q *Queue) Add(at time.Time, run func(now time.Time)) {
	q.added++
	heap.Push(&q.events, event{at, q.added, run})
}

// Run runs all functions up to and including a time, also those that are added meanwhile.
func (q *Queue) Run(until time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(until) {
		q.runFirst()
	}
}

// RunAll runs functions until the queue is empty.
func (q *Queue) RunAll() {
	for len(q.events) > 0 {
		q.runFirst()
	}
}

func (q *Queue) runFirst() {
	e := heap.Pop(&q.events).(event)
	e.run(e.at)
}

type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

// events is a heap by time and order of addition.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
