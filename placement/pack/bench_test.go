package pack_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"marjorampitch/placement"
	"marjorampitch/placement/pack"
	"marjorampitch/placement/packed"
)

// BenchmarkDecide is one decision on one layer whose load has drifted by a
// tenth, by ranks and experts.
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
	shape := placement.Shape{Layers: 1, Ranks: ranks, Experts: experts, Slots: experts/ranks + 1}
	loads := placement.NewLoads(shape)
	speeds := placement.NewSpeeds(ranks).Values()
	for e := range loads.Counts {
		loads.Counts[e] = 1e6 * math.Pow(float64(e+1), -0.9)
	}
	empty, _ := placement.NewMap(shape)
	m, _ := placement.NewMap(shape)
	pack.Full(empty, m, 0, loads.Layer(0), speeds)
	for e := range loads.Counts {
		loads.Counts[e] *= 1 + 0.1*math.Sin(float64(e*e))
	}
	in := placement.Input{
		Map: m, Loads: loads, Speeds: speeds, Horizon: 20 * time.Minute, Margin: 2,
		Costs: placement.Costs{ExpertBytes: 44 << 20, BytesPerSecond: 35e6, Step: 50 * time.Millisecond},
	}
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

// BenchmarkLoadReport is the cost of one load report of one layer.
func BenchmarkLoadReport(b *testing.B) {
	shape := placement.Shape{Layers: 1, Ranks: 64, Experts: 256, Slots: 5}
	loads := placement.NewLoads(shape)
	counts := make([]float64, len(loads.Counts))
	b.ReportAllocs()
	for b.Loop() {
		loads.Add(counts, 0.2)
	}
}
