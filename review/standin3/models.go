package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// modelsConfig is a configuration with its version and its routes.
const modelsConfig = `{"version":%d,"routes":[%s],"services":[{"name":"llm","health_path":"/health","max_connections":610,"protocol":"h1","tls":false,` +
	`"engine":{"slots":128,"kv_capacity":411557,"models":[{"name":"alpha"},{"name":"beta"}]}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["key"]}]}`

// modelsRoute is a route with its name.
const modelsRoute = `{"name":"r-%[1]s","host":"h.example","prefix":"/%[1]s/","kind":"stream","timeout_ms":3000,"target_latency_ms":400,"priority":0,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250}`

const (
	// askInterval is the time between two requests of a model at a gateway.
	askInterval = 60 * time.Millisecond
	// askDeadline is the deadline of a request, that of job-tag.
	askDeadline = 3 * time.Second
	// settledAfter is the time after the naming of a version from which requests are judged:
	// version_all_ms and contact_ms.
	settledAfter = 17*time.Second + 4*time.Second
	// judgedTime is how long requests are judged.
	judgedTime = 12 * time.Second
)

// tally counts the requests of a model in the judged time.
type tally struct{ asked, served atomic.Int64 }

// runModels lets two engines, which hold two models each, get new weights of one of them. The
// route of that model was added by a later configuration.
func runModels(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	storeAddress, err := s.listen(s.store)
	if err != nil {
		return false, err
	}
	alpha, beta := fmt.Sprintf(modelsRoute, "alpha"), fmt.Sprintf(modelsRoute, "beta")
	s.putJSON("op/config", fmt.Sprintf(modelsConfig, 3, alpha))
	for _, model := range []string{"alpha", "beta"} {
		s.putJSON("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	}
	var engines []*engine
	for i := range 3 {
		e, err := newEngine(s, fmt.Sprint("i-", i), "llm", map[string]int64{"alpha": 1, "beta": 1})
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for i := range 3 {
		g, err := s.addGateway(fmt.Sprint("front-", i), storeAddress)
		if err != nil {
			return false, err
		}
		if err := s.start(g); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var judging atomic.Bool
	tallies := map[string]*tally{"alpha": {}, "beta": {}}
	for _, g := range s.gateways {
		wg.Go(func() { s.askModel(ctx, g, "alpha", tallies["alpha"], &judging) })
	}
	sleep(ctx, 3*time.Second)
	s.putJSON("op/config", fmt.Sprintf(modelsConfig, 7, alpha+","+beta))
	sleep(ctx, 4*time.Second)
	for _, g := range s.gateways {
		wg.Go(func() { s.askModel(ctx, g, "beta", tallies["beta"], &judging) })
	}
	sleep(ctx, 3*time.Second)
	if trouble {
		for _, e := range engines {
			e.name("beta", 2)
		}
		s.putJSON("op/version/beta", `{"model":"beta","version":2}`)
	}
	sleep(ctx, settledAfter)
	judging.Store(true)
	s.add("judged from here")
	sleep(ctx, judgedTime)
	judging.Store(false)
	share := map[string]float64{}
	for model, t := range tallies {
		asked, served := t.asked.Load(), t.served.Load()
		share[model] = float64(served) / float64(max(1, asked))
		s.add("%s: %d requests, %d served", model, asked, served)
	}
	if tallies["beta"].asked.Load() < 20 || share["alpha"] < 0.5 {
		return false, fmt.Errorf("%w: too few requests, or those of the first route aren't served either", errNotRun)
	}
	return share["beta"] >= share["alpha"]/4, nil
}

// askModel sends requests of a model to a gateway until ctx ends. One that is refused is tried
// once more, as the sheets say, after the time that the refusal asks for.
func (s *system) askModel(ctx context.Context, g *gatewayProcess, model string, t *tally, judging *atomic.Bool) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		judged := judging.Load()
		wg.Go(func() {
			id := fmt.Sprintf("%s-%s-%d", g.name, model, n)
			served := s.ask(client, g, model, id, askDeadline)
			if judged {
				t.asked.Add(1)
				if served {
					t.served.Add(1)
				}
			}
		})
		sleep(ctx, askInterval)
	}
}

// ask sends a request and, if it is refused, another one. It reports whether one was served.
func (s *system) ask(client *http.Client, g *gatewayProcess, model, id string, left time.Duration) bool {
	start := time.Now()
	for try := 1; ; try++ {
		ok, status, retryAfter := s.try(client, g, model, fmt.Sprint(id, "-", try), left-time.Since(start))
		s.add("%s-%d: %d", id, try, status)
		if ok || try == 2 || status != http.StatusServiceUnavailable {
			return ok
		}
		time.Sleep(min(retryAfter, (left-time.Since(start))/3))
	}
}

// try sends one request.
func (s *system) try(client *http.Client, g *gatewayProcess, model, id string, left time.Duration) (ok bool, status int, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+"/"+model+"/x", strings.NewReader("prompt"))
	if err != nil {
		panic(err) // the address is well-formed
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Citrontiller-Request-Id": id, "Citrontiller-Model": model, "Citrontiller-Token-Usage": "1460,80",
		"Citrontiller-Prompt-Prefix": fmt.Sprintf("%s:800,%x:660", sharedPart(model, id), time.Now().UnixNano()), "Citrontiller-Credential": "key",
		"Citrontiller-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10)} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return false, 0, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without one
	ok = err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(body), fmt.Sprintf("id: %d\n", events))
	return ok, resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// sharedParts is the number of shared parts of prompts of a model.
const sharedParts = 40

// sharedPart returns the id of the part that a request's prompt shares with others of its model.
func sharedPart(model, id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return fmt.Sprintf("%x%02x", model, h.Sum32()%sharedParts)
}
