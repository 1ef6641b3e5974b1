// Command experiment compares balancing policies over load patterns and shapes of a
// service by simulation with core/model. It prints a table and can plot each pattern.
//
// Usage:
//
//	experiment                              all patterns on all shapes
//	experiment --pattern burst --shape small --seeds 5 --plots DIR
//
// The columns all, worst and last are fractions of requests answered within the latency
// objective: over the whole pattern, in its worst two seconds, and in its last ten seconds,
// by which a policy must have recovered. Nothing here uses a network. The same arguments
// print the same table.
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

const (
	// maxSeeds is the largest number of simulations of a pattern.
	maxSeeds = 20
	// worstSpan and lastSpan are the lengths in seconds of the periods that the columns
	// worst and last cover.
	worstSpan = 2
	lastSpan  = 10
)

type flags struct {
	Pattern []string `help:"Names of patterns; default: all."`
	Shape   []string `help:"Names of shapes; default: all."`
	Seeds   int      `help:"Simulations of each, with seeds from 0." default:"2"`
	Plots   string   `help:"Directory for one PNG for each pattern and shape." type:"path"`
}

// Validate checks the flags' bounds. It is called by kong.
func (f *flags) Validate() error {
	if f.Seeds < 1 || f.Seeds > maxSeeds {
		return errors.Newf("--seeds must be from 1 to %d", maxSeeds)
	}
	return nil
}

// namedPolicy is a policy to compare.
type namedPolicy struct {
	Name string
	New  func(model.Shape) model.Policy
}

var policies = []namedPolicy{
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

// run simulates the selected patterns and shapes and writes the table.
func (f *flags) run(w io.Writer) error {
	shapes, err := selectNamed(f.Shape, model.Shapes, func(s model.Shape) string { return s.Name })
	if err != nil {
		return errors.Wrap(err, "--shape")
	}
	patterns, err := selectNamed(f.Pattern, model.Patterns, func(p model.Pattern) string { return p.Name })
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

// compare simulates one pattern on one shape with each policy.
func (f *flags) compare(w io.Writer, s model.Shape, p model.Pattern) error {
	var lines []series
	for _, c := range policies {
		var sum metrics
		for seed := range f.Seeds {
			r := model.Simulate(s, c.New(s), uint64(seed), p.PhasesFor(s))
			sum.add(measure(r), 1/float64(f.Seeds))
			if seed == 0 {
				lines = append(lines, series{c.Name, r})
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", s.Name, p.Name, c.Name, sum.all, sum.worst, sum.last, sum.known, sum.refused)
	}
	if f.Plots == "" {
		return nil
	}
	return draw(f.Plots, s, p, lines)
}

// metrics holds the metrics of a simulation, or their means.
type metrics struct{ all, worst, last, known, refused float64 }

func (r *metrics) add(o metrics, weight float64) {
	r.all += weight * o.all
	r.worst += weight * o.worst
	r.last += weight * o.last
	r.known += weight * o.known
	r.refused += weight * o.refused
}

// measure returns the metrics of a simulation. It ignores the last second, which is
// incomplete.
func measure(r model.Result) metrics {
	n := len(r.Seconds) - 1
	m := metrics{all: r.InTime(0, n), worst: 1, last: r.InTime(max(0, n-lastSpan), n), known: r.HitRate(0, n), refused: r.Refused(0, n)}
	for from := 0; from+worstSpan <= n; from++ {
		m.worst = min(m.worst, r.InTime(from, from+worstSpan))
	}
	return m
}

// selectNamed returns the items of list with the given names, or all if there are no names.
func selectNamed[T any](names []string, list []T, name func(T) string) ([]T, error) {
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
			return nil, errors.Newf("unknown name %q; known names are %q", n, known)
		}
	}
	return picked, nil
}
