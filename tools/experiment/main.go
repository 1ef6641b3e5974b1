// Command experiment compares policies over load patterns and shapes of a service
// in the model of core/model, prints a table, and draws each pattern.
//
// Usage:
//
//	experiment                              all patterns on all shapes
//	experiment --pattern burst --shape small --seeds 5 --plots DIR
//
// A cell of the table is a share of requests answered within the aim: over the
// whole pattern, in its worst two seconds, and in its last ten, by which a policy
// must have come back. Nothing here touches a network; the same arguments print
// the same table.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"auburnlatch/core/model"
)

// Bounds of a comparison.
const (
	maxSeeds = 20
	// worstSpan and lastSpan are in seconds.
	worstSpan = 2
	lastSpan  = 10
)

type flags struct {
	Pattern []string `help:"Patterns by name; all where none is given."`
	Shape   []string `help:"Shapes by name; all where none is given."`
	Seeds   int      `help:"Plays of each, with seeds from 0." default:"2"`
	Plots   string   `help:"Directory for one PNG a pattern and shape." type:"path"`
}

// Validate refuses what is out of bounds; kong calls it.
func (f *flags) Validate() error {
	if f.Seeds < 1 || f.Seeds > maxSeeds {
		return errors.Newf("--seeds must be from 1 to %d", maxSeeds)
	}
	return nil
}

// contestant is a policy by name.
type contestant struct {
	Name string
	New  func(model.Shape) model.Policy
}

var contestants = []contestant{
	{"ours", func(s model.Shape) model.Policy { return model.NewBalancerPolicy(s) }},
	{"even", func(s model.Shape) model.Policy { return model.NewEven(s) }},
	{"owner", func(s model.Shape) model.Policy { return model.NewOwner(s) }},
	{"least used", func(s model.Shape) model.Policy { return model.NewLeastUsed(s) }},
	{"nearest", func(s model.Shape) model.Policy { return model.NewNearest(s) }},
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Compares policies over load patterns, without a network."))
	if err := f.run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// run plays what was asked for and writes the table.
func (f *flags) run(w io.Writer) error {
	shapes, err := pick(f.Shape, model.Shapes, func(s model.Shape) string { return s.Name })
	if err != nil {
		return errors.Wrap(err, "--shape")
	}
	patterns, err := pick(f.Pattern, model.Patterns, func(p model.Pattern) string { return p.Name })
	if err != nil {
		return errors.Wrap(err, "--pattern")
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "shape\tpattern\tpolicy\tall\tworst\tlast\tknown\trefused")
	for _, s := range shapes {
		for _, p := range patterns {
			if err := f.compare(tw, s, p); err != nil {
				return err
			}
		}
	}
	return tw.Flush()
}

// compare plays one pattern on one shape under all policies.
func (f *flags) compare(w io.Writer, s model.Shape, p model.Pattern) error {
	var lines []line
	for _, c := range contestants {
		var sum row
		for seed := range f.Seeds {
			r := model.Simulate(s, c.New(s), uint64(seed), p.PhasesFor(s))
			sum.add(measure(r), 1/float64(f.Seeds))
			if seed == 0 {
				lines = append(lines, line{c.Name, r})
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", s.Name, p.Name, c.Name, sum.all, sum.worst, sum.last, sum.known, sum.refused)
	}
	if f.Plots == "" {
		return nil
	}
	return draw(f.Plots, s, p, lines)
}

// row is the figures of a play, or their means.
type row struct{ all, worst, last, known, refused float64 }

func (r *row) add(o row, weight float64) {
	r.all += weight * o.all
	r.worst += weight * o.worst
	r.last += weight * o.last
	r.known += weight * o.known
	r.refused += weight * o.refused
}

// measure takes a play's figures. Its last second is cut off and left out.
func measure(r model.Result) row {
	n := len(r.Seconds) - 1
	m := row{all: r.InTime(0, n), worst: 1, last: r.InTime(max(0, n-lastSpan), n), known: r.HitRate(0, n), refused: r.Refused(0, n)}
	for from := 0; from+worstSpan <= n; from++ {
		m.worst = min(m.worst, r.InTime(from, from+worstSpan))
	}
	return m
}

// pick returns those of the list that are named, all where none is.
func pick[T any](names []string, list []T, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return list, nil
	}
	var picked []T
	for _, n := range names {
		found := false
		for _, x := range list {
			if name(x) == n {
				picked, found = append(picked, x), true
			}
		}
		if !found {
			var known []string
			for _, x := range list {
				known = append(known, name(x))
			}
			return nil, errors.Newf("%q is not known; there are %q", n, known)
		}
	}
	return picked, nil
}
