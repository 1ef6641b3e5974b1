package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRunPrintsAndDraws(t *testing.T) {
	dir := t.TempDir()
	f := &flags{Pattern: []string{"cold start"}, Shape: []string{"small"}, Seeds: 1, Plots: dir}
	var first, again strings.Builder
	for _, w := range []*strings.Builder{&first, &again} {
		if err := f.run(w); err != nil {
			t.Fatal(err)
		}
	}
	if first.String() != again.String() {
		t.Errorf("two runs differ:\n%s\n%s", first.String(), again.String())
	}
	for _, c := range policies {
		if !strings.Contains(first.String(), c.Name) {
			t.Errorf("no line for %q in\n%s", c.Name, first.String())
		}
	}
	if _, err := os.Stat(filepath.Join(dir, "small-cold-start.png")); err != nil {
		t.Error(err)
	}
}

func TestUnknownNamesAreRefused(t *testing.T) {
	for _, f := range []*flags{{Pattern: []string{"x"}, Seeds: 1}, {Shape: []string{"x"}, Seeds: 1}} {
		if err := f.run(&strings.Builder{}); err == nil || !strings.Contains(err.Error(), `unknown name "x"; known names are`) {
			t.Errorf("got %v, want an error that lists the known names", err)
		}
	}
	if (&flags{Seeds: maxSeeds + 1}).Validate() == nil {
		t.Error("accepted too many seeds")
	}
}
