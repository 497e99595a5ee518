package cost

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
)

// Sizes of an encoded report.
const (
	// maxReportServers bounds the servers of one report; the others are left out.
	maxReportServers = 512
	keyBytes         = keyBits / 8
	// workUnit and memoryUnit, in tokens, are the units of work and memory in reports;
	// values are rounded up.
	workUnit   = time.Millisecond
	memoryUnit = 64
	// maxRequests, maxWork and maxMemory, in tokens, bound the values of one server that
	// are believed.
	maxRequests = 1 << 16
	maxWork     = time.Hour
	maxMemory   = 1 << 32
)

// errReport reports a report that cannot be decoded.
var errReport = eris.New("cost: malformed report of loads")

// EncodeLoads returns the loads in the form in which instances exchange them: for each
// server its key and, as variable-length integers, its requests, work and memory. Values
// that receivers would not believe are reduced to the largest that they do.
func EncodeLoads(loads map[Key]Load) []byte {
	buf := make([]byte, 0, len(loads)*(keyBytes+4))
	n := 0
	for key, x := range loads {
		if n++; n > maxReportServers {
			break
		}
		buf = append(buf, byte(key), byte(key>>8), byte(key>>16))
		buf = binary.AppendUvarint(buf, uint64(min(max(x.Requests, 0), maxRequests)))
		buf = binary.AppendUvarint(buf, uint64((min(max(x.Work, 0), maxWork)+workUnit-1)/workUnit))
		buf = binary.AppendUvarint(buf, uint64((min(max(x.Memory, 0), maxMemory)+memoryUnit-1)/memoryUnit))
	}
	return buf
}

// DecodeLoads decodes what EncodeLoads returned. It returns an error if the data is
// malformed or a value is out of range.
func DecodeLoads(data []byte) (map[Key]Load, error) {
	loads := make(map[Key]Load)
	for len(data) > 0 {
		if len(data) < keyBytes || len(loads) >= maxReportServers {
			return nil, errReport
		}
		key := Key(data[0]) | Key(data[1])<<8 | Key(data[2])<<16
		data = data[keyBytes:]
		var values [3]uint64
		for i, limit := range [3]uint64{maxRequests, uint64(maxWork / workUnit), maxMemory / memoryUnit} {
			v, n := binary.Uvarint(data)
			if n <= 0 || v > limit {
				return nil, errReport
			}
			values[i], data = v, data[n:]
		}
		loads[key] = Load{Requests: int(values[0]), Work: time.Duration(values[1]) * workUnit, Memory: int(values[2]) * memoryUnit}
	}
	return loads, nil
}
