package backing

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/go-resty/resty/v2"
)

// InstancesBody is the body of the instance list, read and written.
type InstancesBody struct {
	Instances []Instance `json:"instances"`
}

// InstanceListClient is the HTTP client of the instance list. It asks
// conditionally (ETag, If-None-Match), so that an unchanged list costs a few
// bytes. It is safe for use by several goroutines.
type InstanceListClient struct {
	http *resty.Client

	mu   sync.Mutex
	etag string     // of list; empty when the platform sends none
	list []Instance // never changed once stored
}

var _ InstanceList = (*InstanceListClient)(nil)

// NewInstanceListClient returns a client of the instance list at base.
func NewInstanceListClient(base string) *InstanceListClient {
	return &InstanceListClient{http: newClient(base).SetTimeout(answerTimeout)}
}

// Instances implements InstanceList. Callers must not change the result.
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
		return nil, unavailable(fmt.Errorf("instance list: %s", resp.Status()))
	}
	c.store(resp.Header().Get("ETag"), body.Instances)
	return body.Instances, nil
}

func (c *InstanceListClient) cached() (etag string, list []Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.list
}

func (c *InstanceListClient) store(etag string, list []Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag = etag
	c.list = list
}
