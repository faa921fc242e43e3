//go:build !race

// The race detector makes these runs five times slower. The tests of standin/fleet
// run the same processes with it.

package fleetsim

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/matryer/is"
)

var (
	long  = flag.Bool("long", false, "measure all variants with the whole traces")
	seeds = flag.Uint64("seeds", 1, "seeds to measure, from 1")
	only  = flag.String("variant", "", "measure only this variant")
)

// Guards against failed requests on the whole system under a short load, against a
// scheduler that reuses fewer prefixes than random choice, and against cancelled
// attempts that cost more prompt tokens than are recomputed in total.
func TestShort(t *testing.T) {
	is := is.New(t)
	w := PrefixWorkload
	w.Duration, w.RequestsPerSecond = 4*time.Second, 40
	random, design := measure(t, w, Variants()[0], 1), measure(t, w, Design(), 1)
	is.True(design.Requests > 50)
	is.Equal(design.Failures, 0)
	is.Equal(design.Refusals, 0)
	is.True(design.HitRate > random.HitRate)
	is.True(design.WastedPromptTokens < design.RecomputedTokens)
}

func measure(t *testing.T, w Workload, v Variant, seed uint64) (r Result) {
	synctest.Test(t, func(t *testing.T) {
		var err error
		r, err = Run(w, v, seed)
		is.New(t).NoErr(err)
	})
	return r
}

// Prints the comparison of all variants:
// go test -v -timeout 5m -parallel 4 -run TestTable ./internal/fleetsim -long -seeds 3
func TestTable(t *testing.T) {
	if !*long {
		t.Skip("only with -long")
	}
	for _, w := range []Workload{PrefixWorkload, SurgeWorkload} {
		for seed := uint64(1); seed <= *seeds; seed++ {
			t.Run(fmt.Sprintf("%s seed %d", w.Name, seed), func(t *testing.T) {
				t.Parallel()
				table(t, w, seed)
			})
		}
	}
}

func table(t *testing.T, w Workload, seed uint64) {
	variants := slices.DeleteFunc(Variants(), func(v Variant) bool { return *only != "" && *only != v.Name })
	results := make([]Result, len(variants))
	t.Cleanup(func() {
		var b strings.Builder
		tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "variant\thit %\tp50\tp95\tp99 ms\trecomputed ktok\tpeak %\tbehind long p99\tcheck p99\tstraggler p99\thedges\tnot run\tfailed\tcrossed MB\twasted tok\twasted prompt ktok\tof")
		for i, v := range variants {
			row(tw, v.Name, results[i])
		}
		_ = tw.Flush()
		t.Logf("workload %s, seed %d\n%s", w.Name, seed, b.String())
	})
	for i, v := range variants {
		t.Run(v.Name, func(t *testing.T) {
			t.Parallel()
			results[i] = measure(t, w, v, seed)
		})
	}
}

func row(w *tabwriter.Writer, name string, r Result) {
	ms := time.Duration.Milliseconds
	fmt.Fprintf(w, "%s\t%.1f\t%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%.1f\t%d\n", name, 100*r.HitRate, ms(r.P50), ms(r.P95), ms(r.P99),
		r.RecomputedTokens/1000, 100*r.SurgeWithinTarget, ms(r.P99BehindLong), ms(r.P99Check), ms(r.P99Straggler), r.Hedges, r.Refusals, r.Failures,
		float64(r.CrossRegionBytes)/1e6, r.WastedTokens, float64(r.WastedPromptTokens)/1000, r.Requests)
}
