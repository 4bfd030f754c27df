package accept

import (
	"bytes"
	"math"
)

// framing finds the end of the body of a request in what arrives, as net/http does. Otherwise it
// could not be told whether further bytes are a body, trailers or the next head.
type framing struct {
	state framingState
	// left is what is to come of a body with a length, or of the current chunk and the CR and LF
	// after it.
	left int64
	// digits counts those of the size of the current chunk, size is their value.
	digits int
	size   int64
	// extension is set behind the digits.
	extension bool
	// trailer is the state of the trailers, hasTrailer is set once one has begun.
	trailer    head
	hasTrailer bool
}

type framingState int

const (
	// withLength means that the length of the body is known.
	withLength framingState = iota
	chunkSize
	chunkData
	inTrailer
	// malformed means that net/http refuses what has arrived and closes the connection.
	malformed
	bodyEnded
)

const (
	// maxChunkDigits is how many digits net/http accepts for the size of a chunk.
	maxChunkDigits = 16
	// maxChunkSize bounds the size of a chunk, so that it does not overflow with its line end.
	maxChunkSize = math.MaxInt64 - int64(len("\r\n"))
)

// newFraming returns the framing of a body of a length, -1 if it is chunked.
func newFraming(length int64) framing {
	switch {
	case length < 0:
		return framing{state: chunkSize}
	case length == 0:
		return framing{state: bodyEnded}
	}
	return framing{left: length}
}

// next returns how many bytes of p belong to the body, and the cost of those that belong to
// trailers.
func (f *framing) next(p []byte) (n, cost int) {
	for n < len(p) && f.state != bodyEnded {
		switch f.state {
		case withLength, chunkData:
			step := min(f.left, int64(len(p)-n))
			n += int(step)
			if f.left -= step; f.left > 0 {
				continue
			}
			if f.state == withLength {
				f.state = bodyEnded
			} else {
				f.state = chunkSize
			}
		case chunkSize:
			f.nextOfSize(p[n])
			n++
		case inTrailer:
			step, ended := f.trailer.next(p[n:])
			cost += f.trailerCost(p[n:n+step], ended)
			n += step
			if ended {
				f.state = bodyEnded
			}
		default:
			return len(p), cost
		}
	}
	return n, cost
}

// nextOfSize reads a byte of the line with the size of a chunk.
func (f *framing) nextOfSize(b byte) {
	if b == '\n' {
		switch {
		case f.digits == 0 || f.digits > maxChunkDigits:
			f.state = malformed
		case f.size == 0:
			// Before trailers there is a line, so that an empty one ends them.
			f.state, f.trailer = inTrailer, head{begun: true}
		default:
			f.state, f.left = chunkData, f.size+int64(len("\r\n"))
		}
		f.digits, f.size, f.extension = 0, 0, false
		return
	}
	digit, ok := hexDigit(b)
	if f.extension = f.extension || !ok; f.extension {
		return
	}
	if f.digits++; f.size > maxChunkSize>>4 {
		f.size = maxChunkSize
	} else {
		f.size = f.size<<4 | digit
	}
}

func hexDigit(b byte) (value int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

// trailerCost returns the cost of bytes of trailers. The empty line that ends them costs nothing:
// a body without trailers must not fail for want of room.
func (f *framing) trailerCost(p []byte, ended bool) int {
	f.hasTrailer = f.hasTrailer || len(bytes.Trim(p, "\r\n")) > 0
	if !f.hasTrailer {
		return 0
	}
	lines := bytes.Count(p, []byte{'\n'})
	if ended {
		lines--
	}
	return headByteCost*len(p) + headLineCost*lines
}
