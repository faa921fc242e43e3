package openai

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/blocks"
)

// eventLine returns the JSON of a stored event with n blocks.
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

// Guards against a scanner that differs from encoding/json: every prefix of an event,
// and every event with one byte changed, must have the same result or fail in both.
func TestDecodeEvent(t *testing.T) {
	is := is.New(t)
	whole := string(eventLine(3, 2))
	e, err := decodeEvent([]byte(whole))
	is.NoErr(err)
	is.Equal(len(e.Blocks), 2)
	check := func(line string) {
		var want eventJSON
		wantErr := json.Unmarshal([]byte(line), &want)
		got, err := decodeEvent([]byte(line))
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%s: got error %v, want %v", line, err, wantErr)
		}
		if err != nil {
			return
		}
		var blocks []blockJSON
		for _, b := range got.Blocks {
			blocks = append(blocks, blockJSON(b))
		}
		is.Equal(got.Seq, want.Seq)
		is.Equal(got.BootID, want.BootID)
		is.Equal(string(got.Type), want.Type)
		is.Equal(got.RequestID, want.RequestID)
		is.Equal(fmt.Sprint(blocks), fmt.Sprint(want.Blocks))
	}
	check(strings.Replace(whole, `"blocks":[`, `"blocks": [`, 1))
	check(`{"seq":18446744073709551616,"boot_id":"","type":"cleared"}`)
	check(`{"seq":1,"boot_id":"","type":"cleared"}`)
	for i := range len(whole) {
		check(whole[:i])
		for _, c := range "0-\"\\,{}[] \n\x00" {
			check(whole[:i] + string(c) + whole[i+1:])
		}
	}
}

// Measures the time to decode an event and apply it to a blocks.View. The design allows 6
// microseconds.
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
				v.Apply(blocks.Event{Seq: uint64(i + 1), BootID: e.BootID, Kind: blocks.Stored, Blocks: e.Blocks, RequestID: e.RequestID})
			}
		})
	}
}
