package replica_test

import (
	"bytes"
	"fmt"
	"testing"

	"auburnlatch/core/replica"
)

// Operators add a few hundred routes and change them several times within two seconds.
// Each version is 80 KB, and each of 80 VMs reads it from one of two peers over a link
// of 10 Mbit/s. Uncompressed, half of the VMs had the last version only four seconds
// after it was accepted and served by older ones until then.
func TestLongValuesAreCompressed(t *testing.T) {
	var long bytes.Buffer
	for i := range 400 {
		fmt.Fprintf(&long, `"route-%d":{"Host":"h%d.example","Prefix":"/p%d/","Service":"s","Timeout":"800ms"},`, i, i%7, i)
	}
	table := replica.NewTable("rules", func(string, []byte, []byte) bool { return false })
	table.Apply(start, replica.Delta{To: replica.Head{Table: "rules", Version: 2}, Rows: []replica.Row{
		{Key: "long", Version: 1, Value: long.Bytes()}, {Key: "short", Version: 2, Value: []byte("x")},
	}})
	rows := table.Since(start, 0).Rows
	for _, r := range rows {
		if r.Key == "short" {
			if r.Packed != nil {
				t.Error("a short value is compressed")
			}
			continue
		}
		if len(r.Packed) == 0 || len(r.Packed) > long.Len()/5 {
			t.Fatalf("%d bytes are compressed to %d, want a fifth at most", long.Len(), len(r.Packed))
		}
		got, err := replica.Unpack(r.Packed)
		if err != nil || !bytes.Equal(got, long.Bytes()) {
			t.Errorf("unpacked to %d bytes and %v, want %d", len(got), err, long.Len())
		}
		for _, corrupt := range [][]byte{r.Packed[:len(r.Packed)/2], []byte("not deflated")} {
			if _, err := replica.Unpack(corrupt); err == nil {
				t.Error("Unpack of a corrupt value returned no error")
			}
		}
	}
}

func BenchmarkUnpack(b *testing.B) {
	table := replica.NewTable("rules", func(string, []byte, []byte) bool { return false })
	value := bytes.Repeat([]byte(`"route-12":{"Host":"h1.example","Prefix":"/p12/"},`), 1600)
	table.Apply(start, replica.Delta{To: replica.Head{Version: 1}, Rows: []replica.Row{{Key: "k", Version: 1, Value: value}}})
	packed := table.Since(start, 0).Rows[0].Packed
	b.ReportAllocs()
	for b.Loop() {
		if _, err := replica.Unpack(packed); err != nil {
			b.Fatal(err)
		}
	}
}
