package http1

import "bytes"

// Dechunker decodes a chunked body that arrives in pieces of any size. The zero value expects the start of a body.
// Trailers are parsed and discarded; chunk extensions are ignored.
type Dechunker struct {
	remaining    int64 // bytes of the current chunk that have not been decoded yet
	state        chunkState
	trailerBytes int // size of the trailer lines so far
}

// chunkState is the part of a chunked body that a Dechunker expects next.
type chunkState uint8

const (
	expectSize chunkState = iota
	inData
	expectDataEnd // the CRLF after the data of a chunk
	inTrailer
	finished
)

const (
	// maxChunkLine is the maximum length of a chunk-size or trailer line in bytes.
	maxChunkLine = 1024
	// maxTrailerBytes is the maximum size of the trailers.
	maxTrailerBytes = 16 * maxChunkLine
)

// Next decodes the start of src. It returns the number of bytes consumed, the body data among them, and whether the body
// is complete. Each call returns at most one piece of data; the caller repeats it while bytes are consumed. The error is
// ErrIncomplete if the rest of src is an incomplete line, which the caller must keep, or a *ParseError.
func (d *Dechunker) Next(src []byte) (consumed int, data []byte, done bool, err error) {
	pos := 0
	for {
		rest := src[pos:]
		switch d.state {
		case expectSize, inTrailer, expectDataEnd:
			newline := bytes.IndexByte(rest, '\n')
			if newline < 0 {
				if len(rest) > maxChunkLine {
					return pos, nil, false, ErrChunk
				}
				return pos, nil, false, ErrIncomplete
			}
			if newline == 0 || rest[newline-1] != '\r' || newline > maxChunkLine || bytes.IndexByte(rest[:newline-1], '\r') >= 0 {
				return pos, nil, false, ErrChunk
			}
			line := rest[:newline-1]
			pos += newline + 1
			switch d.state {
			case expectDataEnd:
				if len(line) != 0 {
					return pos, nil, false, ErrChunk
				}
				d.state = expectSize
			case inTrailer:
				if d.trailerBytes += newline; d.trailerBytes > maxTrailerBytes {
					return pos, nil, false, ErrChunk
				}
				if len(line) == 0 {
					d.state = finished
					return pos, nil, true, nil
				}
				if line[0] == ' ' || line[0] == '\t' || bytes.IndexByte(line, ':') <= 0 {
					return pos, nil, false, ErrChunk
				}
			default:
				n, ok := chunkSize(line)
				if !ok {
					return pos, nil, false, ErrChunk
				}
				if d.remaining = n; n == 0 {
					d.state = inTrailer
				} else {
					d.state = inData
				}
			}
		case inData:
			n := min(int64(len(rest)), d.remaining)
			if n == 0 {
				return pos, nil, false, ErrIncomplete
			}
			if d.remaining -= n; d.remaining == 0 {
				d.state = expectDataEnd
			}
			return pos + int(n), rest[:n], false, nil
		case finished:
			return pos, nil, true, nil
		}
	}
}

// chunkSize parses a chunk size of up to 15 hex digits and ignores chunk extensions.
func chunkSize(line []byte) (n int64, ok bool) {
	if semicolon := bytes.IndexByte(line, ';'); semicolon >= 0 {
		line = line[:semicolon]
		line = bytes.TrimRight(line, " \t")
	}
	if len(line) == 0 || len(line) > 15 {
		return 0, false
	}
	for _, c := range line {
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

// AppendChunk appends data to out as one chunk. Empty data is omitted, since an empty chunk would end the body.
func AppendChunk(out, data []byte) []byte {
	if len(data) == 0 {
		return out
	}
	var digits [16]byte
	start := len(digits)
	for n := len(data); n > 0; n >>= 4 {
		start--
		digits[start] = "0123456789abcdef"[n&15]
	}
	out = append(out, digits[start:]...)
	out = append(out, "\r\n"...)
	out = append(out, data...)
	return append(out, "\r\n"...)
}

// LastChunk is the end of a chunked body.
const LastChunk = "0\r\n\r\n"
