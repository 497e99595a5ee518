package backing

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/rotisserie/eris"
)

// AppendRequest is the body of an append request.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	First *Offset `json:"first"` // offset of the first record appended
}

// RecordBody is a record in a ReadResponse.
type RecordBody struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadResponse is the body of the response to a read.
type ReadResponse struct {
	Records []RecordBody `json:"records"`
	Start   Offset       `json:"start"`
	End     Offset       `json:"end"`
}

// LogClient is the HTTP client of the log service. It is safe for concurrent use.
type LogClient struct {
	http *resty.Client
}

var _ Log = (*LogClient)(nil)

// NewLogClient returns a client of the log service at the base URL, such as "http://10.0.0.1:7000".
func NewLogClient(baseURL string) *LogClient {
	return &LogClient{http: newClient(baseURL, maxReadBytes)}
}

// Append implements Log. It returns ErrRefused if the request got no connection or
// an error response marked with HeaderNotAppended, and ErrUnknown for every other
// failure.
func (c *LogClient) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var trace sendTrace
	var answer AppendResponse
	resp, err := c.http.R().
		SetContext(trace.withContext(ctx)).
		SetPathParam("stream", stream).
		SetBody(AppendRequest{Records: records}).
		SetResult(&answer).
		SetResponseBodyLimit(maxAppendedBytes).
		Post("/streams/{stream}/records")
	if err != nil {
		return NoOffset, appendFailure(stream, trace.connected, err)
	}
	if !resp.IsSuccess() {
		return NoOffset, appendRefusal(stream, resp)
	}
	if answer.First == nil {
		return NoOffset, eris.Wrapf(ErrUnknown, "append to stream %s: response has no offset", stream)
	}
	return *answer.First, nil
}

// appendFailure returns the error for an append that got no response.
func appendFailure(stream string, connected bool, cause error) error {
	if connected {
		return eris.Wrapf(ErrUnknown, "append to stream %s: %v", stream, cause)
	}
	return eris.Wrapf(ErrRefused, "append to stream %s: %v", stream, cause)
}

// appendRefusal returns the error for an append that got an error response.
func appendRefusal(stream string, resp *resty.Response) error {
	status := resp.StatusCode()
	definite := status == http.StatusServiceUnavailable || status >= 400 && status < 500
	if definite && resp.Header().Get(HeaderNotAppended) != "" {
		return eris.Wrapf(ErrRefused, "append to stream %s: status %s", stream, resp.Status())
	}
	return eris.Wrapf(ErrUnknown, "append to stream %s: status %s", stream, resp.Status())
}

// Read implements Log.
func (c *LogClient) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	var answer ReadResponse
	resp, err := c.http.R().
		SetContext(ctx).
		SetPathParam("stream", stream).
		SetQueryParam("from", strconv.FormatInt(int64(from), 10)).
		SetQueryParam("limit", strconv.Itoa(limit)).
		SetQueryParam("wait", wait.String()).
		SetResult(&answer).
		SetError(&answer).
		Get("/streams/{stream}/records")
	if err != nil {
		return Batch{}, unavailable(err)
	}
	switch resp.StatusCode() {
	case http.StatusOK:
		return answer.batch(), nil
	case http.StatusGone:
		return answer.batch(), ErrTrimmed
	}
	return Batch{}, unavailable(fmt.Errorf("read stream %s: status %s", stream, resp.Status()))
}

func (a *ReadResponse) batch() Batch {
	b := Batch{Start: a.Start, End: a.End}
	for _, r := range a.Records {
		b.Records = append(b.Records, Record(r))
	}
	return b
}
