package backing

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// WeightStoreClient is the HTTP client of the weight store. It is safe for
// use by several goroutines.
type WeightStoreClient struct {
	base string
	http *http.Client
}

var _ WeightStore = (*WeightStoreClient)(nil)

// NewWeightStoreClient returns a client of the weight store at base.
func NewWeightStoreClient(base string) *WeightStoreClient {
	return &WeightStoreClient{base: base, http: &http.Client{Transport: newTransport()}}
}

// Fetch implements WeightStore. The weights are read whole and discarded: the
// side process asks an engine to load them, and needs only their cost.
func (c *WeightStoreClient) Fetch(ctx context.Context, name string) (int64, error) {
	address := c.base + "/weights/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, unavailable(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, unavailable(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, unavailable(fmt.Errorf("weight store: %s", resp.Status))
	}
	n, err := io.CopyBuffer(io.Discard, resp.Body, make([]byte, weightReadBuffer))
	if err != nil {
		return n, unavailable(err)
	}
	return n, nil
}
