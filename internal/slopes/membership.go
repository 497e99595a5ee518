package slopes

import (
	"encoding/json"
	"fmt"

	"marjorampitch/backing"
	"marjorampitch/route"
)

// instanceMeasurements describes the measurements of sending and decoding an instance list.
func instanceMeasurements() []Measurement {
	sizes := []int{140, 560, 2_240, 3_540}
	return []Measurement{
		{Name: "list-bytes", Per: "instance", Unit: "B", Sizes: sizes, Measure: func(n int) (float64, error) {
			text, err := json.Marshal(instanceList(n))
			return float64(len(text)), err
		}},
		{Name: "list-decode", Per: "instance", Unit: "us", Sizes: sizes, Measure: func(n int) (float64, error) {
			text, err := json.Marshal(instanceList(n))
			if err != nil {
				return 0, err
			}
			var failed error
			cost := nanosPerCall(func() {
				var body backing.InstancesBody
				if err := json.Unmarshal(text, &body); err != nil {
					failed = err
				}
			})
			return cost / 1e3, failed
		}},
	}
}

func instanceList(n int) backing.InstancesBody {
	var body backing.InstancesBody
	for i := range n {
		body.Instances = append(body.Instances, backing.Instance{
			Name:       fmt.Sprintf("dc%d-llm-%d", i%6, i),
			Address:    fmt.Sprintf("10.%d.%d.%d:7000", i%6, i/250, i%250),
			DataCentre: fmt.Sprintf("dc%d", i%6),
			Role:       "side",
			State:      backing.InstanceLive,
		})
	}
	return body
}

// subsetMeasurements describes the measurements of choosing a front proxy's links to
// the sidecars of one model's pool. The target size is 440 front proxies.
func subsetMeasurements() []Measurement {
	return []Measurement{
		{Name: "subset-choice", Per: "entry", Unit: "us", Sizes: []int{10, 40, 160, 440}, Measure: func(n int) (float64, error) {
			return subsetCost(n, 89), nil
		}},
		{Name: "subset-choice", Per: "side", Unit: "us", Sizes: []int{20, 89, 400, 1_600}, Measure: func(n int) (float64, error) {
			return subsetCost(440, n), nil
		}},
	}
}

// subsetSize is the number of sidecars of each pool that a front proxy connects to.
const subsetSize = 4

func subsetCost(entries, sides int) float64 {
	e, s := routeMembers("entry", entries), routeMembers("llm", sides)
	return nanosPerCall(func() { route.Subset(e[0].Name, e, s, subsetSize) }) / 1e3
}

func routeMembers(kind string, n int) []route.Member {
	out := make([]route.Member, n)
	for i := range out {
		out[i] = route.Member{Name: fmt.Sprintf("dc%d-%s-%d", i%6, kind, i), DataCentre: fmt.Sprintf("dc%d", i%6)}
	}
	return out
}
