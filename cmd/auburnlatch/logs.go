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

// traceCmd shows the lines about one request in saved logs of any number of VMs.
type traceCmd struct {
	ID    string   `arg:"" help:"ID of a request or of an upstream's incarnation."`
	Files []string `arg:"" optional:"" help:"Saved logs. Without files, standard input is read." type:"existingfile"`
}

// Run prints the lines in the order of their times.
func (c *traceCmd) Run(a *app) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	found := logline.Trace(lines, c.ID)
	if len(found) == 0 {
		return errors.Newf("no line contains %q: the log of its VM may be missing, or the line was dropped (see LinesDropped)", c.ID)
	}
	if a.json {
		return json.NewEncoder(os.Stdout).Encode(found)
	}
	for _, l := range found {
		fmt.Println(l.Text)
	}
	return nil
}

// logsCmd groups the commands that analyze saved logs.
type logsCmd struct {
	Summary summaryCmd `cmd:"" help:"Count problems by event, reason, service and zone."`
	Causes  causesCmd  `cmd:"" help:"Count requests that were not answered in time, by cause."`
}

// causesCmd assigns one cause to each request that was late or failed.
type causesCmd struct {
	Files []string      `arg:"" optional:"" help:"Saved logs of all VMs. Without files, standard input is read." type:"existingfile"`
	Every time.Duration `help:"Count each period of this length separately; 0 for one count." default:"0s"`
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", from, orDash(n.Route), n.Cause, orDash(n.Reason), n.N, n.Asked)
	}
	return w.Flush()
}

// summaryCmd counts the problems in saved logs.
type summaryCmd struct {
	Files []string `arg:"" optional:"" help:"Saved logs. Without files, standard input is read." type:"existingfile"`
	ByVM  bool     `help:"Count each VM separately." name:"by-vm"`
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
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", n.N, n.Event, orDash(n.Reason), orDash(n.Service), orDash(n.TargetZone), orDash(n.VM))
	}
	return w.Flush()
}

// orDash returns s, or - if it is empty.
func orDash(s string) string {
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
