package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/inventory"
	"auburnlatch/schema"
)

// Limits of a probe.
const (
	probeTimeout  = time.Second
	maxProbeReply = 4 << 10
)

// Probe queries the target's health endpoint. It returns an error if there is no
// response or not a valid one; the caller decides what follows from that.
func (c *Client) Probe(ctx context.Context, t *inventory.Target) (dispatch.Health, error) {
	return c.probe(ctx, t, c.links)
}

// probe is Probe, recorded in links if these are not nil.
func (c *Client) probe(ctx context.Context, t *inventory.Target, links *Links) (dispatch.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Addr+"/health", nil)
	if err != nil {
		return dispatch.Down, errors.Wrap(err, "probe")
	}
	resp, err := c.roundTripWatched(ctx, t.Addr, req, links)
	if err != nil {
		return dispatch.Down, errors.Wrap(err, "probe")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeReply))
	if err != nil {
		return dispatch.Down, errors.Wrap(err, "probe")
	}
	if resp.StatusCode != http.StatusOK {
		return dispatch.Down, errors.Newf("probe: status %d", resp.StatusCode)
	}
	m := &schema.UpstreamHealth{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, m); err != nil {
		return dispatch.Down, errors.Wrap(err, "probe")
	}
	return dispatch.ParseHealth(m.GetState()), nil
}
