package claim

import (
	"strconv"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// FailedAnswer encodes the error of a failed run as an answer. The sidecar stores
// it, so that later calls with the same key get the same error.
func FailedAnswer(err *api.Error) wire.Answer {
	return wire.Answer{
		Status: err.Code.Info().Status,
		Headers: []wire.Header{
			{Name: api.HeaderResultCode, Value: strconv.Itoa(int(err.Code))},
			{Name: api.HeaderRan, Value: err.Ran.String()},
		},
		Body: []byte(err.Detail),
	}
}

// AnswerError decodes an answer made by FailedAnswer. It returns nil for an answer
// of the backend server.
func AnswerError(a wire.Answer) *api.Error {
	const stored = 2
	if len(a.Headers) != stored || a.Headers[0].Name != api.HeaderResultCode {
		return nil
	}
	n, err := strconv.Atoi(a.Headers[0].Value)
	if err != nil {
		return nil
	}
	e := api.NewError(api.Code(n), string(a.Body))
	e.Ran = api.MayHaveRun
	if a.Headers[1].Value == api.DidRun.String() {
		e.Ran = api.DidRun
	}
	return e
}
