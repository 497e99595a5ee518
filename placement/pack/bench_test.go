package pack_test

import (
	"fmt"
	"testing"

	"marjorampitch/placement"
	"marjorampitch/placement/packed"
	"marjorampitch/placement/placementtest"
)

// BenchmarkDecide measures one decision on one layer whose loads have drifted by
// up to 10%, by number of ranks and experts.
func BenchmarkDecide(b *testing.B) {
	for _, ranks := range []int{8, 16, 32, 64} {
		for _, experts := range []int{64, 128, 256} {
			b.Run(fmt.Sprintf("ranks=%d/experts=%d", ranks, experts), func(b *testing.B) {
				benchDecide(b, ranks, experts)
			})
		}
	}
}

func benchDecide(b *testing.B, ranks, experts int) {
	in := placementtest.DriftedInput(ranks, experts)
	m := in.Map
	data, _ := m.MarshalMsg(nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := (packed.Policy{}).Decide(in); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "map-B/layer")
	b.ReportMetric(float64(4*len(m.Expert)), "memory-B/layer")
}

// BenchmarkLoadReport measures adding the load report of one layer.
func BenchmarkLoadReport(b *testing.B) {
	shape := placement.Shape{Layers: 1, Ranks: 64, Experts: 256, Slots: 5}
	loads := placement.NewLoads(shape)
	counts := make([]float64, len(loads.Counts))
	b.ReportAllocs()
	for b.Loop() {
		loads.Add(counts, 0.2)
	}
}
