package accepter

import "encoding/binary"

// Frames of HTTP/2 (RFC 9113).
const (
	frameHeaderBytes  = 9
	frameData         = 0x0
	frameHeaders      = 0x1
	frameWindowUpdate = 0x8
	frameContinuation = 0x9
	// incrementBytes is the length of a window update's payload.
	incrementBytes = 4
)

// frame is the header of a frame, with the increment of a window update.
type frame struct {
	kind      byte
	stream    uint32
	length    int
	increment uint32
}

// scanner finds the frames in the bytes of one direction of a connection.
type scanner struct {
	// begin is the part of the next frame that was seen so far: its header, and the increment of a window update.
	begin []byte
	// remaining is the part of the current payload that was not seen.
	remaining int
}

// scan calls begin for each frame as soon as its header is complete, and reports whether all calls returned true.
func (s *scanner) scan(p []byte, begin func(f frame) bool) bool {
	for len(p) > 0 {
		if s.remaining > 0 {
			n := min(s.remaining, len(p))
			s.remaining -= n
			p = p[n:]
			continue
		}
		n := min(s.needed()-len(s.begin), len(p))
		s.begin = append(s.begin, p[:n]...)
		p = p[n:]
		if len(s.begin) < s.needed() {
			continue
		}
		f := s.frame()
		s.remaining = f.length - (len(s.begin) - frameHeaderBytes)
		s.begin = s.begin[:0]
		if !begin(f) {
			return false
		}
	}
	return true
}

// needed returns the number of bytes from the begin of the frame that say what it is.
func (s *scanner) needed() int {
	if len(s.begin) >= frameHeaderBytes && s.frame().kind == frameWindowUpdate && s.frame().length == incrementBytes {
		return frameHeaderBytes + incrementBytes
	}
	return frameHeaderBytes
}

// frame returns the frame whose header is complete.
func (s *scanner) frame() frame {
	f := frame{
		kind: s.begin[3], length: int(binary.BigEndian.Uint32(s.begin) >> 8),
		stream: binary.BigEndian.Uint32(s.begin[5:]) &^ (1 << 31),
	}
	if len(s.begin) == frameHeaderBytes+incrementBytes {
		f.increment = binary.BigEndian.Uint32(s.begin[frameHeaderBytes:])
	}
	return f
}
