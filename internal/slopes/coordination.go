package slopes

import (
	"fmt"
	"runtime"
	"time"

	"github.com/google/uuid"

	"marjorampitch/backing"
	"marjorampitch/claim"
	"marjorampitch/placement/packed"
	"marjorampitch/placement/placementtest"
)

// claims measures the fold of a partition of claims.
func claims() []Slope {
	sizes := []int{1_000, 4_000, 16_000, 64_000}
	return []Slope{
		{Name: "claim-fold", Per: "claim", Unit: "us", Sizes: sizes, Measure: func(n int) (float64, error) {
			records := claimRecords(n)
			start := time.Now()
			foldClaims(records)
			return float64(time.Since(start).Microseconds()), nil
		}},
		{Name: "claim-memory", Per: "claim", Unit: "B", Sizes: sizes, Measure: func(n int) (float64, error) {
			records := claimRecords(n)
			before := heldBytes()
			t := foldClaims(records)
			held := heldBytes() - before
			runtime.KeepAlive(records)
			if t.Len() != n {
				return 0, fmt.Errorf("%d keys kept of %d", t.Len(), n)
			}
			return held, nil
		}},
		{Name: "claim-bytes", Per: "claim", Unit: "B", Sizes: sizes, Measure: func(n int) (float64, error) {
			bytes := 0
			for _, r := range claimRecords(n) {
				bytes += len(r.Data)
			}
			return float64(bytes), nil
		}},
	}
}

func claimRecords(n int) []backing.Record {
	claimant, side := uuid.NewString(), uuid.NewString()
	records := make([]backing.Record, n)
	for i := range records {
		c := claim.Claim{
			Key:             claim.Key(uuid.Must(uuid.NewV7())),
			Fingerprint:     uint64(i) * 0x9e3779b97f4a7c15,
			Claimant:        claimant,
			Nonce:           uint64(i),
			Side:            "dk1-booking-1",
			SideIncarnation: side,
			ValidUntil:      int64(i) + 1_024,
		}
		records[i] = backing.Record{Offset: backing.Offset(i), Data: c.Record()}
	}
	return records
}

func foldClaims(records []backing.Record) *claim.Table {
	t := claim.NewTable(0)
	for _, r := range records {
		t.Apply(r)
	}
	return t
}

// groups measures decisions and maps of groups of 256 experts a layer.
func groups() []Slope {
	ranks := []int{8, 16, 32, 64}
	return []Slope{
		{Name: "placement-decide", Per: "rank", Unit: "us", Sizes: ranks, Measure: func(n int) (float64, error) {
			in := placementtest.DriftedInput(n, 256)
			var failed error
			cost := nanos(func() { _, failed = packed.Policy{}.Decide(in) })
			return cost / 1e3, failed
		}},
		{Name: "placement-decide", Per: "expert", Unit: "us", Sizes: []int{64, 128, 192, 256}, Measure: func(n int) (float64, error) {
			in := placementtest.DriftedInput(64, n)
			var failed error
			cost := nanos(func() { _, failed = packed.Policy{}.Decide(in) })
			return cost / 1e3, failed
		}},
		{Name: "map-bytes", Per: "rank", Unit: "B", Sizes: ranks, Measure: func(n int) (float64, error) {
			data, err := placementtest.DriftedInput(n, 256).Map.MarshalMsg(nil)
			return float64(len(data)), err
		}},
	}
}
