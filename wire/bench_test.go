package wire

import (
	"bytes"
	"testing"
)

func BenchmarkEncodeChunk(b *testing.B) {
	m := &Chunk{Stream: 7, Attempt: 1, Seq: 100, Data: make([]byte, 180)}
	buf := make([]byte, 0, 32<<10)
	b.ReportAllocs()
	for b.Loop() {
		var err error
		buf, err = AppendFrame(buf[:0], m)
		if err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeChunk(b *testing.B) {
	frame, _ := AppendFrame(nil, &Chunk{Stream: 7, Attempt: 1, Seq: 100, Data: make([]byte, 180)})
	in := bytes.NewReader(frame)
	r := NewReader(in)
	b.ReportAllocs()
	for b.Loop() {
		in.Reset(frame)
		if _, err := r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
