package http1

import "bytes"

// Dechunker takes a chunked body apart, however it is cut into reads. The zero value is at the body's start.
// Trailers are read and dropped; chunk extensions are passed over.
type Dechunker struct {
	left  int64 // of the chunk
	state chunkState
	line  int // bytes of the line in hand
}

type chunkState uint8

const (
	atSize chunkState = iota
	inData
	afterData
	inTrailer
	finished
)

const longestChunkLine = 1024

// Next reads from src: it gives how many bytes it took, the data among them, and whether the body is over. It
// takes as much as leads to one piece of data; call it again while it takes something. ErrMore: src holds a part
// of a line only, keep it. A *Fault: the body is malformed.
func (d *Dechunker) Next(src []byte) (took int, data []byte, done bool, err error) {
	at := 0
	for {
		rest := src[at:]
		switch d.state {
		case atSize, inTrailer, afterData:
			nl := bytes.IndexByte(rest, '\n')
			if nl < 0 {
				if len(rest) > longestChunkLine {
					return at, nil, false, ErrChunk
				}
				return at, nil, false, ErrIncomplete
			}
			if nl == 0 || rest[nl-1] != '\r' || nl > longestChunkLine || bytes.IndexByte(rest[:nl-1], '\r') >= 0 {
				return at, nil, false, ErrChunk
			}
			l := rest[:nl-1]
			at += nl + 1
			switch d.state {
			case afterData:
				if len(l) != 0 {
					return at, nil, false, ErrChunk
				}
				d.state = atSize
			case inTrailer:
				if d.line += nl; d.line > 16*longestChunkLine {
					return at, nil, false, ErrChunk
				}
				if len(l) == 0 {
					d.state = finished
					return at, nil, true, nil
				}
				if l[0] == ' ' || l[0] == '\t' || bytes.IndexByte(l, ':') <= 0 {
					return at, nil, false, ErrChunk
				}
			default:
				n, ok := chunkSize(l)
				if !ok {
					return at, nil, false, ErrChunk
				}
				if d.left = n; n == 0 {
					d.state = inTrailer
				} else {
					d.state = inData
				}
			}
		case inData:
			n := min(int64(len(rest)), d.left)
			if n == 0 {
				return at, nil, false, ErrIncomplete
			}
			if d.left -= n; d.left == 0 {
				d.state = afterData
			}
			return at + int(n), rest[:n], false, nil
		case finished:
			return at, nil, true, nil
		}
	}
}

// chunkSize reads a chunk's size in hex digits, up to 15 of them, and passes over extensions.
func chunkSize(l []byte) (n int64, ok bool) {
	if at := bytes.IndexByte(l, ';'); at >= 0 {
		l = l[:at]
		l = bytes.TrimRight(l, " \t")
	}
	if len(l) == 0 || len(l) > 15 {
		return 0, false
	}
	for _, c := range l {
		switch {
		case '0' <= c && c <= '9':
			n = n<<4 | int64(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<4 | int64(c-'a'+10)
		case 'A' <= c && c <= 'F':
			n = n<<4 | int64(c-'A'+10)
		default:
			return 0, false
		}
	}
	return n, true
}

// AppendChunk appends data as one chunk; empty data would end the body and is left out.
func AppendChunk(out, data []byte) []byte {
	if len(data) == 0 {
		return out
	}
	var digits [16]byte
	at := len(digits)
	for n := len(data); n > 0; n >>= 4 {
		at--
		digits[at] = "0123456789abcdef"[n&15]
	}
	out = append(out, digits[at:]...)
	out = append(out, "\r\n"...)
	out = append(out, data...)
	return append(out, "\r\n"...)
}

// LastChunk ends a chunked body.
const LastChunk = "0\r\n\r\n"
