package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/io/logline"
)

// traceCmd shows what saved logs of any number of VMs say about one request.
type traceCmd struct {
	ID    string   `arg:"" help:"A request's ID, or that of an upstream's incarnation."`
	Files []string `arg:"" optional:"" help:"Saved logs; none: standard input." type:"existingfile"`
}

// Run prints the lines in order of time.
func (c *traceCmd) Run(a *app) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	found := logline.Trace(lines, c.ID)
	if len(found) == 0 {
		return errors.Newf("no line names %q: its VM's log may not be here, or the line was dropped (see LinesDropped)", c.ID)
	}
	if a.json {
		return json.NewEncoder(os.Stdout).Encode(found)
	}
	for _, l := range found {
		fmt.Println(l.Text)
	}
	return nil
}

// logsCmd has the commands on saved logs.
type logsCmd struct {
	Summary summaryCmd `cmd:"" help:"Count what went wrong, by event, reason, service and zone."`
	Causes  causesCmd  `cmd:"" help:"Say why requests were not answered in time, one cause each."`
}

// causesCmd gives each request that was late or given up on one cause.
type causesCmd struct {
	Files []string      `arg:"" optional:"" help:"Saved logs of all VMs; none: standard input." type:"existingfile"`
	Every time.Duration `help:"Count by spans of this length." default:"0s"`
}

// Run prints the counts, the highest first.
func (c *causesCmd) Run(a *app) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	counts := logline.Causes(lines, c.Every)
	if a.json {
		return json.NewEncoder(os.Stdout).Encode(counts)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FROM\tROUTE\tCAUSE\tREASON\tCOUNT\tOF")
	for _, n := range counts {
		from := "-"
		if !n.From.IsZero() {
			from = n.From.Format(time.TimeOnly)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", from, dash(n.Route), n.Cause, dash(n.Reason), n.N, n.Asked)
	}
	return w.Flush()
}

// summaryCmd counts what went wrong.
type summaryCmd struct {
	Files []string `arg:"" optional:"" help:"Saved logs; none: standard input." type:"existingfile"`
	ByVM  bool     `help:"Count each VM apart." name:"by-vm"`
}

// Run prints the counts, the highest first.
func (c *summaryCmd) Run(a *app) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	counts := logline.Summarize(lines, c.ByVM)
	if a.json {
		return json.NewEncoder(os.Stdout).Encode(counts)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "COUNT\tEVENT\tREASON\tSERVICE\tTARGET ZONE\tVM")
	for _, n := range counts {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", n.N, n.Event, dash(n.Reason), dash(n.Service), dash(n.TargetZone), dash(n.VM))
	}
	return w.Flush()
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func readLogs(files []string) ([]logline.Line, error) {
	if len(files) == 0 {
		return logline.Read(os.Stdin)
	}
	var all []logline.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := readAndClose(f)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readAndClose(f io.ReadCloser) ([]logline.Line, error) {
	defer f.Close()
	return logline.Read(f)
}
