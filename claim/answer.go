package claim

import (
	"strconv"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// FailedAnswer returns the answer that a side stores for a run that failed, so
// that later calls with the key learn the same.
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

// AnswerError returns the error that FailedAnswer stored, or nil for an answer
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
