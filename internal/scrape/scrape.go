// Package scrape reads the metrics that a process exposes in Prometheus text format.
package scrape

import (
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
)

// Values returns the value of the first metric of each named family, a counter or
// a gauge. Errors: the metrics cannot be read or parsed, or lack a family.
func Values(client *http.Client, url string, names ...string) ([]float64, error) {
	resp, err := client.Get(url)
	if err != nil {
		return nil, eris.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, eris.Wrapf(err, "parse metrics of %s", url)
	}
	values := make([]float64, len(names))
	for i, name := range names {
		metrics := families[name].GetMetric()
		if len(metrics) == 0 {
			return nil, eris.Errorf("metrics of %s lack %s", url, name)
		}
		values[i] = value(metrics[0])
	}
	return values, nil
}

// value returns the value of a counter, or else that of a gauge.
func value(m *dto.Metric) float64 {
	if c := m.GetCounter(); c != nil {
		return c.GetValue()
	}
	return m.GetGauge().GetValue()
}
