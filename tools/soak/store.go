package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"auburnlatch/platform/standin"
)

const (
	// copyInterval is the time between two copies of the store's data, and maxCopies how many
	// are kept.
	copyInterval = 100 * time.Millisecond
	maxCopies    = 40
)

// storeControl is the soak's control of the store. It is part of the store's process.
type storeControl struct {
	store *standin.Store

	mu     sync.Mutex
	copies []standin.Copy // Oldest first.
	reads  map[int64]int  // Read calls by second.
}

// loop copies the store's data until the process ends.
func (c *storeControl) loop() {
	c.reads = make(map[int64]int)
	for range time.Tick(copyInterval) {
		c.mu.Lock()
		c.copies = append(c.copies, c.store.Copy())
		c.copies = c.copies[max(0, len(c.copies)-maxCopies):]
		c.mu.Unlock()
	}
}

// ServeHTTP implements http.Handler. Paths below /soak/ control the store.
func (c *storeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/soak/away":
		c.store.SetAway(true)
	case "/soak/back":
		c.store.SetAway(false)
	case "/soak/lose":
		for i := range loseBy {
			c.store.Put("other", strconv.Itoa(i), nil)
		}
	case "/soak/restore":
		age, _ := strconv.Atoi(r.FormValue("copies"))
		ahead, _ := strconv.Atoi(r.FormValue("ahead"))
		c.restore(age, ahead)
	case "/soak/reads":
		c.mu.Lock()
		defer c.mu.Unlock()
		most := 0
		for _, n := range c.reads {
			most = max(most, n)
		}
		fmt.Fprint(w, most)
	case "/soak/rows":
		fmt.Fprint(w, c.store.Rows(r.FormValue("table")))
	default:
		if r.Method == http.MethodGet {
			c.mu.Lock()
			c.reads[time.Now().Unix()]++
			c.mu.Unlock()
		}
		c.store.ServeHTTP(w, r)
	}
}

// restore restores the store from a copy that is age copies old. Its versions then go on
// ahead past the lost ones, unless ahead is 0.
func (c *storeControl) restore(age, ahead int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := c.store.Version()
	if n := len(c.copies); n > 0 {
		c.store.Restore(c.copies[max(0, n-1-age)])
	}
	for i := 0; ahead > 0 && c.store.Version() < lost+uint64(ahead); i++ {
		c.store.Put("other", strconv.Itoa(i%aheadBy), nil)
	}
	c.store.SetAway(false)
}
