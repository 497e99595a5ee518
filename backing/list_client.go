package backing

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/go-resty/resty/v2"
)

// InstancesBody is the HTTP body of the instance list in both directions.
type InstancesBody struct {
	Instances []Instance `json:"instances"`
}

// InstanceListClient is the HTTP client of the instance list. It sends conditional
// requests (ETag, If-None-Match), so that an unchanged list is not transferred
// again. It is safe for concurrent use.
type InstanceListClient struct {
	http *resty.Client

	mu   sync.Mutex
	etag string     // of list; empty if the platform sends none
	list []Instance // not modified after it is stored
}

var _ InstanceList = (*InstanceListClient)(nil)

// NewInstanceListClient returns a client of the instance list at the base URL.
func NewInstanceListClient(baseURL string) *InstanceListClient {
	return &InstanceListClient{http: newClient(baseURL, maxListBytes).SetTimeout(answerTimeout)}
}

// Instances implements InstanceList. Callers must not modify the result.
func (c *InstanceListClient) Instances(ctx context.Context) ([]Instance, error) {
	etag, list := c.cached()
	req := c.http.R().SetContext(ctx)
	if etag != "" {
		req.SetHeader("If-None-Match", etag)
	}
	var body InstancesBody
	resp, err := req.SetResult(&body).Get("/instances")
	if err != nil {
		return nil, unavailable(err)
	}
	if etag != "" && resp.StatusCode() == http.StatusNotModified {
		return list, nil
	}
	if !resp.IsSuccess() {
		return nil, unavailable(fmt.Errorf("get instance list: status %s", resp.Status()))
	}
	c.setCached(resp.Header().Get("ETag"), body.Instances)
	return body.Instances, nil
}

func (c *InstanceListClient) cached() (etag string, list []Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.list
}

func (c *InstanceListClient) setCached(etag string, list []Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag = etag
	c.list = list
}
