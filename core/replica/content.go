package replica

// SetContent records that a version of the content is in force; see Head.
func (t *Table) SetContent(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.content = max(t.content, version)
}

// ObserveContent takes the head of another VM's replica. If this replica has all that the other
// one has, or is of a later era, newer content that was in force there is lost.
func (t *Table) ObserveContent(other Head) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observed = true
	if own := (Head{Era: t.era, Version: t.version}); !t.confirmed.IsZero() && !own.Before(other) {
		t.lost = max(t.lost, other.Content)
	}
}

// LostContent returns the highest version of the content that has been in force on a VM and is
// not in a replica as complete as this one, unless it has come since; 0: none. observed
// reports whether any other VM has been heard.
func (t *Table) LostContent() (version uint64, observed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost, t.observed
}
