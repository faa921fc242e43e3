package openai

import (
	"fmt"
	"testing"

	"github.com/citrontiller/citrontiller/blocks"
)

// eventLine returns the data of a stored event with n blocks.
func eventLine(seq uint64, n int) []byte {
	line := fmt.Appendf(nil, `{"seq":%d,"boot_id":"6f1c1f0e-6c5e-4d43-9d55-0f7b5f0d9a11","type":"stored","request_id":"0b0d8a52-3a5f-4f0e-9b59-3c1f5a7a2f10","blocks":[`, seq)
	for i := range n {
		if i > 0 {
			line = append(line, ',')
		}
		line = fmt.Appendf(line, `{"hash":%d,"tokens":%d}`, (seq*16+uint64(i))*0x9e3779b97f4a7c15, 16*i+16)
	}
	return append(line, "]}"...)
}

// Measures the cost of an event, from the line of the stream to the view; the
// design allows 6 microseconds.
func BenchmarkEvent(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			const count = 20_000
			lines := make([][]byte, count)
			for i := range lines {
				lines[i] = eventLine(uint64(i+1), n)
			}
			v := blocks.NewView()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				e, err := decodeEvent(lines[i%count])
				if err != nil {
					b.Fatal(err)
				}
				v.Apply(blocks.Event{Seq: uint64(i + 1), BootID: e.BootID, Kind: blocks.Stored, Blocks: e.Blocks, Request: e.RequestID})
			}
		})
	}
}
