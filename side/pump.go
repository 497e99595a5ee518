package side

import (
	"context"

	"marjorampitch/api"
	"marjorampitch/wire"
)

// pump sends the answer of a to s until it is complete or ctx ends.
func (s *Server) pump(ctx context.Context, a *attempt, sub *subscriber) {
	headSent := false
	for {
		st := a.next(sub, headSent)
		switch {
		case st.wait != nil:
			select {
			case <-ctx.Done():
				return
			case <-st.wait:
			}
		case st.head != nil:
			headSent = true
			head := *st.head
			head.Stream = sub.stream
			head.Attempt = sub.attempt
			sub.conn.Send(&head)
		case st.done:
			s.conclude(sub, st)
			return
		default:
			if sub.window.take(ctx, len(st.chunk)) != nil {
				return
			}
			sub.conn.Send(&wire.Chunk{Stream: sub.stream, Attempt: sub.attempt, Seq: sub.next, Data: st.chunk})
			a.sent(sub, len(st.chunk))
		}
	}
}

// conclude sends the last message of an attempt.
func (s *Server) conclude(sub *subscriber, st step) {
	if st.result != nil {
		s.refuse(sub.conn, sub.stream, sub.attempt, st.result)
		return
	}
	sub.conn.Send(&wire.End{
		Stream:  sub.stream,
		Attempt: sub.attempt,
		Count:   st.count,
		Report:  s.report(),
	})
}

// refuse closes an attempt with e.
func (s *Server) refuse(c *wire.Conn, stream uint64, number uint32, e *api.Error) {
	s.opt.Metrics.Refusal(e.Code)
	c.Send(&wire.Refusal{
		Stream:           stream,
		Attempt:          number,
		Code:             int(e.Code),
		Ran:              uint8(e.Ran),
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
		Detail:           e.Detail,
		Report:           s.report(),
	})
}
