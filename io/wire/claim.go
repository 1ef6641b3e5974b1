package wire

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"auburnlatch/core/claim"
	"auburnlatch/schema"
)

// ClaimRow decodes the value of a row of the claims table.
func ClaimRow(value []byte) (claim.Row, error) {
	m := &schema.ClaimRow{}
	if err := proto.Unmarshal(value, m); err != nil {
		return claim.Row{}, errors.Wrap(err, "claim row")
	}
	state, err := claimState(m.GetState())
	if err != nil {
		return claim.Row{}, err
	}
	return claim.Row{
		Attempt: m.GetAttempt(), State: state, Digest: m.GetDigest(),
		Holder:   claim.Holder{VM: m.GetVm(), Incarnation: m.GetIncarnation()},
		Deadline: timestamp(m.GetDeadline()), Written: timestamp(m.GetWritten()), Answer: storedAnswer(m.GetAnswer()),
	}, nil
}

func claimState(s string) (claim.State, error) {
	for _, state := range []claim.State{claim.Claimed, claim.Done, claim.Tombstone} {
		if s == state.String() {
			return state, nil
		}
	}
	return claim.Absent, errors.Newf("claim row: unknown state %q", s)
}

func storedAnswer(m *schema.StoredAnswer) *claim.Answer {
	if m == nil {
		return nil
	}
	a := &claim.Answer{Status: int(m.GetStatus()), Body: m.GetBody(), Object: m.GetObject(), TooLarge: m.GetTooLarge()}
	for _, h := range m.GetHeaders() {
		a.Headers = append(a.Headers, claim.Header{Name: h.GetName(), Values: h.GetValues()})
	}
	return a
}

// FromClaimRow encodes the value of a row of the claims table.
func FromClaimRow(r claim.Row) ([]byte, error) {
	m := &schema.ClaimRow{
		Attempt: r.Attempt, State: r.State.String(), Digest: r.Digest, Vm: r.Holder.VM, Incarnation: r.Holder.Incarnation,
		Deadline: timestamppb.New(r.Deadline), Written: timestamppb.New(r.Written),
	}
	if a := r.Answer; a != nil {
		m.Answer = &schema.StoredAnswer{Status: int32(a.Status), Body: a.Body, Object: a.Object, TooLarge: a.TooLarge}
		for _, h := range a.Headers {
			m.Answer.Headers = append(m.Answer.Headers, &schema.HeaderField{Name: h.Name, Values: h.Values})
		}
	}
	data, err := proto.Marshal(m)
	return data, errors.Wrap(err, "claim row")
}
