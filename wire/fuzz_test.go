package wire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// kinds returns every kind of frame.
func kinds() []Kind {
	var out []Kind
	for k := range 256 {
		if newMessage(Kind(k)) != nil {
			out = append(out, Kind(k))
		}
	}
	return out
}

// drawMessage draws a message of any kind with arbitrary content.
func drawMessage(t *rapid.T) Message {
	m := newMessage(rapid.SampledFrom(kinds()).Draw(t, "kind"))
	v := reflect.ValueOf(m).Elem()
	for i := range v.NumField() {
		drawField(t, v.Field(i))
	}
	return m
}

// drawField sets f, including nested fields, to an arbitrary value.
func drawField(t *rapid.T, f reflect.Value) {
	switch f.Kind() {
	case reflect.String:
		f.SetString(rapid.String().Draw(t, "string"))
	case reflect.Bool:
		f.SetBool(rapid.Bool().Draw(t, "bool"))
	case reflect.Int, reflect.Int64:
		f.SetInt(rapid.Int64().Draw(t, "int"))
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		f.SetUint(rapid.Uint64Max(1<<f.Type().Bits()-1).Draw(t, "uint"))
	case reflect.Float32:
		f.SetFloat(float64(rapid.Float32().Draw(t, "float")))
	case reflect.Float64:
		f.SetFloat(rapid.Float64().Draw(t, "float"))
	case reflect.Slice:
		f.Set(reflect.MakeSlice(f.Type(), rapid.IntRange(1, 4).Draw(t, "length"), 4))
		for i := range f.Len() {
			drawField(t, f.Index(i))
		}
	case reflect.Array:
		for i := range f.Len() {
			drawField(t, f.Index(i))
		}
	case reflect.Pointer:
		f.Set(reflect.New(f.Type().Elem()))
		drawField(t, f.Elem())
	case reflect.Struct:
		for i := range f.NumField() {
			drawField(t, f.Field(i))
		}
	default:
		t.Fatalf("no generator for %s", f.Type())
	}
}

// fragmentReader returns its data in fragments of drawn lengths.
type fragmentReader struct {
	t         *rapid.T
	remaining []byte
}

func (r *fragmentReader) Read(p []byte) (int, error) {
	if len(r.remaining) == 0 {
		return 0, io.EOF
	}
	n := rapid.IntRange(1, min(len(p), len(r.remaining))).Draw(r.t, "piece")
	copy(p, r.remaining[:n])
	r.remaining = r.remaining[n:]
	return n, nil
}

// Messages are decoded as encoded and in order, however the input is fragmented.
// Input that ends within a frame gives io.ErrUnexpectedEOF, input that ends between
// frames io.EOF.
func TestFuzzFramesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var raw []byte
		var sent []Message
		ends := map[int]int{0: 0} // number of frames by their total length
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			m := drawMessage(t)
			next, err := AppendFrame(raw, m)
			require.NoError(t, err)
			raw = next
			sent = append(sent, m)
			ends[len(raw)] = len(sent)
		}
		cut := rapid.IntRange(0, len(raw)).Draw(t, "cut")
		if rapid.Bool().Draw(t, "whole") {
			cut = len(raw)
		}
		r := NewReader(&fragmentReader{t: t, remaining: raw[:cut]})
		got := []Message{}
		var err error
		for err == nil {
			var m Message
			if m, err = r.Next(); err == nil {
				got = append(got, m)
			}
		}
		count, between := ends[cut]
		if between {
			require.Equal(t, io.EOF, err)
			require.Len(t, got, count)
		} else {
			require.Equal(t, io.ErrUnexpectedEOF, err)
		}
		require.Equal(t, sent[:len(got)], got)
	})
}

// Unknown fields are skipped, so that an older receiver decodes the messages of a
// newer sender.
func TestUnknownFieldIsSkipped(t *testing.T) {
	newer := &Heartbeat{Seq: 3, ConfigOffset: 9}
	frame, err := AppendFrame(nil, newer)
	require.NoError(t, err)
	body := frame[lengthBytes+1:]
	body[0]++ // field count of the msgpack map
	field := []byte("\xa9new_field\x93\x01\xa1x\x81\xa1y\xc0")
	frame = append(frame, field...)
	frame[lengthBytes-1] += byte(len(field))
	m, err := NewReader(bytes.NewReader(frame)).Next()
	require.NoError(t, err)
	require.Equal(t, newer, m)
}

// FuzzDecode passes arbitrary input to a Reader: it must not panic, and must return
// documented errors and messages that can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, k := range kinds() {
		frame, err := AppendFrame(nil, newMessage(k))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
		f.Add(frame[:len(frame)-1])
	}
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Add([]byte{0, 0, 0, 2, byte(KindChunk), 0xc1})
	f.Add([]byte{0, 0, 0, 9, byte(KindChunk), 0x81, 0xa1, 'd', 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bytes.NewReader(raw))
		for {
			m, err := r.Next()
			if err != nil {
				require.True(t, isDocumented(err), "%v", err)
				return
			}
			frame, err := AppendFrame(nil, m)
			require.NoError(t, err)
			again, err := NewReader(bytes.NewReader(frame)).Next()
			require.NoError(t, err)
			second, err := AppendFrame(nil, again)
			require.NoError(t, err)
			require.Equal(t, frame, second)
		}
	})
}

// isDocumented reports whether Reader.Next documents err.
func isDocumented(err error) bool {
	for _, want := range []error{io.EOF, io.ErrUnexpectedEOF, ErrFrameSize, ErrFrameKind, ErrFrameBody} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}
