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

// claimMeasurements describes the measurements of the claim records of one partition.
func claimMeasurements() []Measurement {
	sizes := []int{1_000, 4_000, 16_000, 64_000}
	return []Measurement{
		{Name: "claim-fold", Per: "claim", Unit: "us", Sizes: sizes, Measure: func(n int) (float64, error) {
			records := claimRecords(n)
			start := time.Now()
			replayClaims(records)
			return float64(time.Since(start).Microseconds()), nil
		}},
		{Name: "claim-memory", Per: "claim", Unit: "B", Sizes: sizes, Measure: func(n int) (float64, error) {
			records := claimRecords(n)
			before := memoryInUse()
			t := replayClaims(records)
			used := memoryInUse() - before
			runtime.KeepAlive(records)
			if t.Len() != n {
				return 0, fmt.Errorf("claim table has %d keys after replay of %d claims", t.Len(), n)
			}
			return used, nil
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

func replayClaims(records []backing.Record) *claim.Table {
	t := claim.NewTable(0)
	for _, r := range records {
		t.Apply(r)
	}
	return t
}

// groupMeasurements describes the measurements of placement decisions and expert maps
// by the number of ranks, at 256 experts per layer, and of experts, at 64 ranks.
func groupMeasurements() []Measurement {
	ranks := []int{8, 16, 32, 64}
	return []Measurement{
		{Name: "placement-decide", Per: "rank", Unit: "us", Sizes: ranks, Measure: func(n int) (float64, error) {
			in := placementtest.DriftedInput(n, 256)
			var failed error
			cost := nanosPerCall(func() { _, failed = packed.Policy{}.Decide(in) })
			return cost / 1e3, failed
		}},
		{Name: "placement-decide", Per: "expert", Unit: "us", Sizes: []int{64, 128, 192, 256}, Measure: func(n int) (float64, error) {
			in := placementtest.DriftedInput(64, n)
			var failed error
			cost := nanosPerCall(func() { _, failed = packed.Policy{}.Decide(in) })
			return cost / 1e3, failed
		}},
		{Name: "map-bytes", Per: "rank", Unit: "B", Sizes: ranks, Measure: func(n int) (float64, error) {
			data, err := placementtest.DriftedInput(n, 256).Map.MarshalMsg(nil)
			return float64(len(data)), err
		}},
	}
}
