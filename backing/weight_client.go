package backing

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// WeightStoreClient is the HTTP client of the weight store. It is safe for
// concurrent use.
type WeightStoreClient struct {
	baseURL string
	http    *http.Client
}

var _ WeightStore = (*WeightStoreClient)(nil)

// NewWeightStoreClient returns a client of the weight store at the base URL.
func NewWeightStoreClient(baseURL string) *WeightStoreClient {
	return &WeightStoreClient{baseURL: baseURL, http: &http.Client{Transport: newTransport()}}
}

// Fetch implements WeightStore. It reads all the weights and discards them: the
// sidecar has an engine load them and only needs their size and transfer time.
func (c *WeightStoreClient) Fetch(ctx context.Context, name string) (int64, error) {
	address := c.baseURL + "/weights/" + url.PathEscape(name)
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
		return 0, unavailable(fmt.Errorf("fetch weights %s: status %s", name, resp.Status))
	}
	n, err := io.CopyBuffer(io.Discard, resp.Body, make([]byte, weightReadBuffer))
	if err != nil {
		return n, unavailable(err)
	}
	return n, nil
}
