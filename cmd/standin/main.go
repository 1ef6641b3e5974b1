// Command standin simulates the systems around auburnlatch, the platform and
// upstreams, for tests, demos and experiments. It keeps all state in memory.
//
// Usage:
//
//	standin platform --addr 127.0.0.1:7400
//	standin upstreams ist-01=4@127.0.0.1:7501 ist-02=3@127.0.0.1:7502
//
// The paths under /standin/ inject faults and return counts; see
// schema/platform.proto and schema/standin.proto.
package main

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/standin/platform"
	"auburnlatch/standin/upstream"
)

const headerTimeout = 10 * time.Second

type platformCmd struct {
	Addr string `help:"IP:port to listen on." required:""`
}

// Run serves the platform until the process ends.
func (c *platformCmd) Run() error { return serve(c.Addr, "platform", platform.New()) }

type upstreamsCmd struct {
	Upstreams []string `arg:"" help:"Upstreams, each as name=slots@IP:port."`
}

// Run serves all upstreams until the process ends.
func (c *upstreamsCmd) Run() error {
	failed := make(chan error)
	for _, s := range c.Upstreams {
		name, slots, addr, err := parseUpstream(s)
		if err != nil {
			return err
		}
		u := &standinUpstream{name: name, addr: addr, slots: slots, failed: failed}
		go u.run()
	}
	return <-failed
}

// standinUpstream is one of the upstreams in the process.
type standinUpstream struct {
	name, addr string
	slots      int
	failed     chan<- error
}

// run serves the upstream until it fails.
func (u *standinUpstream) run() { u.failed <- serve(u.addr, u.name, upstream.New(u.name, u.slots)) }

// parseUpstream parses name=slots@IP:port.
func parseUpstream(s string) (name string, slots int, addr string, err error) {
	name, rest, ok := strings.Cut(s, "=")
	count, addr, ok2 := strings.Cut(rest, "@")
	slots, err = strconv.Atoi(count)
	if !ok || !ok2 || err != nil || slots < 1 {
		return "", 0, "", errors.Newf("%q is not of the form name=slots@IP:port", s)
	}
	return name, slots, addr, nil
}

func serve(addr, name string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, name)
	}
	logrus.WithFields(logrus.Fields{"Name": name, "Addr": l.Addr()}).Info("StandinListening")
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	return errors.Wrap(srv.Serve(l), name)
}

func main() {
	var cli struct {
		Platform  platformCmd  `cmd:"" help:"Run the simulated platform."`
		Upstreams upstreamsCmd `cmd:"" help:"Run simulated upstreams."`
	}
	ctx := kong.Parse(&cli, kong.Name("standin"), kong.Description("Simulates the platform and upstreams for tests and demos."))
	ctx.FatalIfErrorf(ctx.Run())
}
