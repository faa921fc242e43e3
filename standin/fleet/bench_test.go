package fleet

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// benchRequestsPerSecond is the request rate of BenchmarkFirstToken.
const benchRequestsPerSecond = 1500

// BenchmarkFirstToken measures the median and the 99th percentile of the time to
// first token at a fixed request rate, through entry and agent (routed) and at the
// engine itself (direct).
func BenchmarkFirstToken(b *testing.B) {
	f := start(b, LoopbackNetwork{})
	engine, err := f.Serve("direct", f.Engines["engine-0"])
	if err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct{ name, address string }{{"direct", engine}, {"routed", f.Entries[0].Address}} {
		b.Run(c.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			times := make([]time.Duration, b.N)
			var wg sync.WaitGroup
			begin := time.Now()
			for i := range b.N {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / benchRequestsPerSecond)))
				wg.Go(func() { times[i] = firstToken(client, c.address, i) })
			}
			wg.Wait()
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
		})
	}
}

// firstToken returns the time to the first byte of a streamed response, or an hour
// if the request fails.
func firstToken(client *http.Client, address string, i int) time.Duration {
	body, _ := chatRequest(i, 2, true)
	req, err := http.NewRequest("POST", "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return time.Hour
	}
	req.Header.Set("Authorization", "Bearer secret")
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		return time.Hour
	}
	defer resp.Body.Close()
	_, err = resp.Body.Read(make([]byte, 1))
	d := time.Since(begin)
	if err != nil {
		return time.Hour
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return d
}
