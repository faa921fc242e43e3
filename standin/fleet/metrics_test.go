package fleet

import (
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/citrontiller/citrontiller/entry"
	"github.com/citrontiller/citrontiller/standin/engine"
)

// sumCounters returns the sum over a family of counters, or of the sample counts of
// a family of histograms.
func sumCounters(t *testing.T, reg *prometheus.Registry, name string) (total float64) {
	t.Helper()
	families, err := reg.Gather()
	is.New(t).NoErr(err)
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.Metric {
			total += value(m)
		}
	}
	return total
}

func value(m *dto.Metric) float64 {
	if m.Histogram != nil {
		return float64(m.Histogram.GetSampleCount())
	}
	return m.Counter.GetValue()
}

// Guards against requests, resumes and cancellations that are not counted, or
// counted twice.
func TestMetrics(t *testing.T) {
	runInBubble(t, func(t *testing.T, f *Fleet, _ *MemoryNetwork) {
		is := is.New(t)
		opts := entry.DefaultOptions()
		opts.Region = "r1"
		reg := prometheus.NewRegistry()
		opts.Registry = reg
		e, err := f.AddEntry("entry-1", opts)
		is.NoErr(err)
		is.NoErr(f.WaitReady(t.Context()))
		f.Entries[0], f.Entries[1] = e, f.Entries[0]
		for _, s := range f.Engines {
			s.SetFaults(engine.Faults{CrashAfterTokens: 3})
		}
		checkChat(t, f, 1, 5, true)
		_, _ = post(t, f, "/v1/chat/completions", `{"model":"m","messages":[]}`)
		for _, s := range f.Engines {
			s.SetFaults(engine.Faults{})
		}
		resp, r, _ := openStream(t, f, t.Context(), 2, 10_000)
		_, err = io.CopyN(io.Discard, r, 10)
		is.NoErr(err)
		_ = resp.Body.Close()
		checkChat(t, f, 3, 5, false)
		is.Equal(sumCounters(t, reg, "citrontiller_entry_requests_total"), 4.0)
		is.Equal(sumCounters(t, reg, "citrontiller_entry_first_token_seconds"), 3.0)
		is.Equal(sumCounters(t, reg, "citrontiller_entry_resumes_total"), 1.0)
		is.Equal(sumCounters(t, reg, "citrontiller_entry_cancelled_total"), 1.0)
	})
}
