package gateway

import (
	"errors"
	"io"
	"slices"
	"sync"

	"github.com/citrontiller/citrontiller/internal/memory"
)

// heldSizes are the sizes of the memory behind heldBytes. It is reused: what faulty
// endpoints make it hold would otherwise be garbage faster than it is collected.
var heldSizes = [...]int{1 << 10, 4 << 10, 16 << 10, 64 << 10, maxBufferedBytes, maxEventBytes + streamReadBytes}

var heldPools [len(heldSizes)]sync.Pool

// allocateHeld returns empty memory for at least n bytes, which must not exceed the last of
// heldSizes.
func allocateHeld(n int) []byte {
	i, _ := slices.BinarySearch(heldSizes[:], n)
	if p, ok := heldPools[i].Get().(*[]byte); ok {
		return *p
	}
	return make([]byte, 0, heldSizes[i])
}

// freeHeld gives back what allocateHeld has returned.
func freeHeld(b []byte) {
	if i, ok := slices.BinarySearch(heldSizes[:], cap(b)); ok {
		b = b[:0]
		heldPools[i].Put(&b)
	}
}

// heldBytes are bytes of a response that can't be relayed yet. They share the memory budget
// of all responses.
type heldBytes struct {
	b           []byte
	reservation *memory.Reservation
	// max bounds len(b).
	max int
}

// reserve makes room for n more bytes. It returns memory.ErrSpent if the budget has none.
func (h *heldBytes) reserve(n int) error {
	need := len(h.b) + n
	if need <= cap(h.b) {
		return nil
	}
	grown := allocateHeld(need)
	if err := h.reservation.Grow(int64(cap(grown) - cap(h.b))); err != nil {
		freeHeld(grown)
		return err
	}
	grown = append(grown, h.b...)
	freeHeld(h.b)
	h.b = grown
	return nil
}

// add appends bytes.
func (h *heldBytes) add(b []byte) error {
	if err := h.reserve(len(b)); err != nil {
		return err
	}
	h.b = append(h.b, b...)
	return nil
}

// dropFirst removes the first n bytes. Large memory is given back when nothing remains.
func (h *heldBytes) dropFirst(n int) {
	h.b = append(h.b[:0], h.b[n:]...)
	if len(h.b) == 0 && cap(h.b) > streamReadBytes {
		h.free()
	}
}

// free gives the memory back.
func (h *heldBytes) free() {
	freeHeld(h.b)
	h.b = nil
	h.reservation.Release()
}

// readAll reads until the end of a body or until max bytes are held. size is the body's
// length, negative if unknown.
func (h *heldBytes) readAll(body io.Reader, size int64) error {
	if size > 0 {
		if err := h.reserve(int(min(size, int64(h.max)))); err != nil {
			return err
		}
	}
	for len(h.b) < h.max {
		if err := h.reserve(1); err != nil {
			return err
		}
		n, err := body.Read(h.b[len(h.b):min(cap(h.b), h.max)])
		h.b = h.b[:len(h.b)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}
