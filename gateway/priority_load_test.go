package gateway

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marjorampitch/fleet"
)

// Requests of several priorities end and leave nothing behind at the gate, while
// callers disconnect and the document changes their priorities.
func TestPrioritiesChangeUnderLoad(t *testing.T) {
	t.Parallel()
	tg := newTestGateway(t)
	for range 2 {
		tg.server(func(c *conn) {
			for r := c.request(); r != nil; r = c.request() {
				time.Sleep(20 * time.Millisecond)
				c.write(streamHead(r) + event(1) + "0\r\n\r\n")
			}
		})
	}
	const callers, calls, versions = 128, 20, 40
	var done sync.WaitGroup
	for i := range callers {
		done.Add(1)
		go func() {
			defer done.Done()
			rnd := rand.New(rand.NewPCG(uint64(i), 11))
			client := http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for range calls {
				r, _ := http.NewRequest(http.MethodGet, tg.front.URL+[]string{"/stream/", "/fixed/"}[rnd.IntN(2)], nil)
				r.Host = "h"
				r.Header.Set("X-Key", "key")
				client.Timeout = time.Duration(5+rnd.IntN(400)) * time.Millisecond
				resp, err := client.Do(r)
				if err != nil {
					var timeout net.Error
					assert.True(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
					continue
				}
				resp.Body.Close()
				assert.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, resp.StatusCode)
			}
		}()
	}
	for version := range versions {
		tg.document(func(d *fleet.Document) {
			d.Version = int64(version + 2)
			if version%3 > 0 {
				prioritize(d)
			}
			for i := range d.Routes {
				d.Routes[i].TargetLatency = time.Duration(100+50*(version%4)) * time.Millisecond
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	done.Wait()
	s := tg.g.service("s")
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		running := 0
		for _, st := range s.gate.Status(tg.g.now()) {
			running += st.Running
		}
		return running == 0 && s.gate.Waiting() == 0 && len(s.waiters) == 0
	}, 10*time.Second, 10*time.Millisecond)
}
