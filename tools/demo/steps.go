package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"auburnlatch/schema"
)

const (
	readyTimeout = 15 * time.Second
	serveTimeout = 15 * time.Second
	pollInterval = 100 * time.Millisecond
	uploadSize   = 8 << 20
)

// steps runs the steps of the demo and prints a line for each.
func (s *demoSystem) steps(ctx context.Context) error {
	for _, step := range []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"register the VMs with the platform", s.register},
		{"apply the inventory and wait", s.apply},
		{"wait for all slots to be in force", s.waitForSlots},
		{"look up a VM", s.lookup},
		{"read a service history", s.read},
		{"book a slot twice under one key", s.book},
		{"upload a recording", s.upload},
		{"kill a VM and read through the next", s.kill},
		{"show the status", s.status},
	} {
		started := time.Now()
		said, err := step.run(ctx)
		if err != nil {
			return errors.Wrap(err, step.name)
		}
		fmt.Printf("demo: %s: %s (%v)\n", step.name, said, time.Since(started).Round(time.Millisecond))
	}
	return nil
}

func (s *demoSystem) register(ctx context.Context) (string, error) {
	platform := s.ports.addrs["platform/http"]
	for _, vm := range vms {
		body, err := protojson.Marshal(&schema.ListedVm{Name: vm.Name, Zone: vm.Zone, PeerAddr: s.ports.addrs[vm.Name+"/peer"]})
		if err != nil {
			return "", err
		}
		err = retryUntil(ctx, readyTimeout, func() error {
			_, _, err := call(ctx, http.MethodPut, "http://"+platform+"/standin/vms/"+vm.Name, body, nil)
			return err
		})
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d VMs", len(vms)), nil
}

func (s *demoSystem) runClient(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(s.bin, "auburnlatch"), append([]string{"--vm", s.ports.addrs[vms[0].Name+"/operator"]}, args...)...)
	out, err := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), errors.Wrapf(err, "auburnlatch %s: %s", strings.Join(args, " "), out)
}

func (s *demoSystem) apply(ctx context.Context) (string, error) {
	var out string
	err := retryUntil(ctx, readyTimeout, func() error {
		var err error
		out, err = s.runClient("apply", s.inventory, "--wait")
		return err
	})
	lines := strings.Split(out, "\n")
	return lines[0] + "; " + lines[len(lines)-1], err
}

// lookup sends a caller's look-up to a VM and checks the reply.
func (s *demoSystem) lookup(ctx context.Context) (string, error) {
	reply := &schema.LookupReply{}
	_, body, err := call(ctx, http.MethodGet, s.url(0, "/auburnlatch/lookup"), nil, nil)
	if err != nil {
		return "", err
	}
	if err := protojson.Unmarshal(body, reply); err != nil {
		return "", err
	}
	if reply.GetPlace() != "suceava" || len(reply.GetVms()) == 0 {
		return "", errors.Newf("unexpected answer %s", body)
	}
	return fmt.Sprintf("place %s, VMs %v, valid %d s", reply.GetPlace(), reply.GetVms(), reply.GetTtlSeconds()), nil
}

func (s *demoSystem) url(vm int, path string) string {
	return "http://" + s.ports.addrs[vms[vm].Name+"/caller"] + path
}

// read retries until the zone's slots are in force.
func (s *demoSystem) read(ctx context.Context) (string, error) {
	var body []byte
	err := retryUntil(ctx, serveTimeout, func() error {
		var err error
		_, body, err = call(ctx, http.MethodGet, s.url(0, "/istoric/vehicles/SV-07-XYZ"), nil, nil)
		return err
	})
	if err == nil && !strings.Contains(string(body), "path=/vehicles/SV-07-XYZ") {
		err = errors.Newf("unexpected answer %q", body)
	}
	return strings.TrimSpace(string(body)), err
}

// book sends one booking through two VMs with one idempotency key. It must run once,
// and both responses must be identical.
func (s *demoSystem) book(ctx context.Context) (string, error) {
	header := http.Header{"Idempotency-Key": {"itp-2026-12-02-1"}, "Auburnlatch-Caller": {"depot-suceava"}}
	order := []byte(`{"Vehicle":"SV-07-XYZ","Bay":2}`)
	_, first, err := call(ctx, http.MethodPost, s.url(0, "/programari/slots"), order, header)
	if err != nil {
		return "", err
	}
	var second []byte
	err = retryUntil(ctx, serveTimeout, func() error {
		var err error
		_, second, err = call(ctx, http.MethodPost, s.url(1, "/programari/slots"), order, header)
		return err
	})
	if err != nil {
		return "", err
	}
	if !bytes.Equal(first, second) {
		return "", errors.Newf("responses differ: %q and %q", first, second)
	}
	runs, err := s.runs(ctx, header.Get("Idempotency-Key"))
	if err != nil || runs != 1 {
		return "", errors.Newf("the booking ran %d times (%v)", runs, err)
	}
	return "ran once by the upstreams' counters; both responses are identical", nil
}

// runs returns how often requests with the given key ran, by the counters of all upstreams.
func (s *demoSystem) runs(ctx context.Context, key string) (uint64, error) {
	var n uint64
	for _, t := range targets() {
		_, body, err := call(ctx, http.MethodGet, "http://"+s.ports.addrs[t.Name+"/http"]+"/standin/stats", nil, nil)
		if err != nil {
			return 0, err
		}
		stats := &schema.UpstreamStats{}
		if err := protojson.Unmarshal(body, stats); err != nil {
			return 0, err
		}
		for _, k := range stats.GetKeys() {
			if k.GetKey() == key {
				n += k.GetRuns()
			}
		}
	}
	return n, nil
}

func (s *demoSystem) upload(ctx context.Context) (string, error) {
	recording := bytes.Repeat([]byte("brake-test "), uploadSize/len("brake-test "))
	sum := sha256.Sum256(recording)
	_, body, err := call(ctx, http.MethodPut, s.url(2, "/atelier/recordings/1"), recording, nil)
	if err != nil {
		return "", err
	}
	if !strings.Contains(string(body), hex.EncodeToString(sum[:])) {
		return "", errors.Newf("the upstream's response does not contain the upload's hash: %q", body)
	}
	return fmt.Sprintf("%d bytes arrived complete", len(recording)), nil
}

// waitForSlots waits until each VM reports all slots of each zone, and no more, as in
// force.
func (s *demoSystem) waitForSlots(ctx context.Context) (string, error) {
	for _, vm := range vms {
		if err := retryUntil(ctx, serveTimeout, func() error { return s.checkSlots(ctx, vm.Name) }); err != nil {
			return "", errors.Wrap(err, vm.Name)
		}
	}
	return fmt.Sprintf("%d of each service in each zone, as each VM sees it", slotsPerZone), nil
}

// slotsPerZone is the number of slots of each service in each zone.
const slotsPerZone = 8

// checkSlots checks that a VM knows of all slots. Slots known to one VM may not have
// propagated to another, which refuses requests for which it knows of no slots.
func (s *demoSystem) checkSlots(ctx context.Context, vm string) error {
	_, body, err := call(ctx, http.MethodGet, "http://"+s.ports.addrs[vm+"/operator"]+"/status", nil, nil)
	if err != nil {
		return err
	}
	st := &schema.Status{}
	if err := protojson.Unmarshal(body, st); err != nil {
		return err
	}
	for _, z := range st.GetZones() {
		for _, svc := range z.GetServices() {
			if svc.GetSlots() != slotsPerZone {
				return errors.Newf("%s has %d slots of %s, want %d", z.GetZone(), svc.GetSlots(), svc.GetService(), slotsPerZone)
			}
		}
	}
	return nil
}

// kill kills a VM with SIGKILL. A caller that cannot reach it uses the next VM of its
// look-up's reply.
func (s *demoSystem) kill(ctx context.Context) (string, error) {
	const reads, dead, next = 20, 1, 0
	if err := s.killVM(vms[dead].Name); err != nil {
		return "", err
	}
	if _, _, err := call(ctx, http.MethodGet, s.url(dead, "/istoric/x"), nil, nil); err == nil {
		return "", errors.New("the killed VM still responds")
	}
	for range reads {
		if _, _, err := call(ctx, http.MethodGet, s.url(next, "/istoric/vehicles/SV-07-XYZ"), nil, nil); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%s is dead, %d of %d reads served by %s", vms[dead].Name, reads, reads, vms[next].Name), nil
}

func (s *demoSystem) status(context.Context) (string, error) {
	out, err := s.runClient("status")
	return "\n" + out + "\n", err
}

// retryUntil calls f until it succeeds or the time limit has passed. It then returns f's
// last error.
func retryUntil(ctx context.Context, limit time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

func call(ctx context.Context, method, url string, body []byte, header http.Header) (http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, errors.Newf("%s %s: status %d: %s", method, url, resp.StatusCode, data)
	}
	return resp.Header, data, nil
}
