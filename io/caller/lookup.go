package caller

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"

	"auburnlatch/core/steer"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/schema"
)

// lookup responds with the VMs that a caller should use. The query parameter
// client overrides the address of the connection.
func (s *Server) lookup(c echo.Context) error {
	w, r := c.Response(), c.Request()
	if !s.register.Ready() {
		forward.Refuse(w, verdict.New(verdict.NotRun, verdict.ReasonNotReady, retryAfter))
		return nil
	}
	client := remoteAddr(r)
	if r.URL.RawQuery != "" {
		if q := r.URL.Query().Get("client"); q != "" {
			addr, err := netip.ParseAddr(q)
			if err != nil {
				forward.Refuse(w, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, 0))
				return nil
			}
			client = addr
		}
	}
	snapshot := s.register.Lookups()
	body, err := s.answers.body(snapshot, snapshot.Lookup(client), s.cfg.LookupTTL)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
}

// answerCache caches the encoded look-up answers of one snapshot, as encoding an
// answer costs more than looking it up. The zero value is empty.
type answerCache struct {
	current atomic.Pointer[encodedAnswers]
}

type encodedAnswers struct {
	snapshot *steer.Lookups
	bodies   sync.Map // From *steer.Answer to []byte.
}

// body returns the encoded LookupReply for a, which is an answer of snapshot.
func (c *answerCache) body(snapshot *steer.Lookups, a *steer.Answer, ttl time.Duration) ([]byte, error) {
	enc := c.current.Load()
	if enc == nil || enc.snapshot != snapshot {
		enc = &encodedAnswers{snapshot: snapshot}
		c.current.Store(enc)
	}
	if body, ok := enc.bodies.Load(a); ok {
		return body.([]byte), nil
	}
	reply := &schema.LookupReply{Place: a.Place, TtlSeconds: int32(ttl / time.Second), Version: snapshot.Version}
	for _, vm := range a.VMs {
		reply.Vms = append(reply.Vms, vm.Caller)
	}
	body, err := protojson.Marshal(reply)
	if err != nil {
		return nil, err
	}
	body = append(body, '\n')
	enc.bodies.Store(a, body)
	return body, nil
}
