package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// fleetConfig is a configuration with its version, its routes and its services.
const fleetConfig = `{"version":%d,"routes":[%s],"services":[%s],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":[%s]}]}`

// fleetService is a service with its name and the models of its engines.
const fleetService = `{"name":%q,"health_path":"/health","max_connections":610,"protocol":"h1","tls":false,` +
	`"engine":{"slots":128,"kv_capacity":411557,"models":[%s]}}`

// streamRoute is a route below a path to a service, with the figures of job-tag of
// sites/zgm-router.toml.
const streamRoute = `{"name":"r-%[1]s","host":"h.example","prefix":"/%[1]s/","kind":"stream","timeout_ms":3000,"target_latency_ms":400,"priority":0,"service":%[2]q,"max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250}`

const (
	// fleetGateways is the number of gateways of a case.
	fleetGateways = 3
	// readyTime is the longest time until they are ready.
	readyTime = 10 * time.Second
)

// path is a path of callers with the service of its route.
type path struct{ name, service string }

// putConfig writes a configuration with routes for some paths. The engines of all services have
// the same models.
func (s *system) putConfig(version int, models string, keys []string, paths ...path) {
	var routes, services []string
	for _, p := range paths {
		routes = append(routes, fmt.Sprintf(streamRoute, p.name, p.service))
		if service := fmt.Sprintf(fleetService, p.service, models); !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	s.putJSON("op/config", fmt.Sprintf(fleetConfig, version, strings.Join(routes, ","), strings.Join(services, ","), `"`+strings.Join(keys, `","`)+`"`))
}

// startEngines writes the first versions of the models and starts engines with them.
func (s *system) startEngines(service string, n int, versions map[string]int64) ([]*engine, error) {
	for _, model := range slices.Sorted(maps.Keys(versions)) {
		s.putJSON("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":%d}`, model, versions[model]))
	}
	var out []*engine
	for i := range n {
		e, err := newEngine(s, fmt.Sprintf("i-%s-%d", service, i), service, maps.Clone(versions))
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// startGateways starts the gateways, with a store at an address, and waits until these are ready. The first
// configuration must have been written.
func (s *system) startGateways(storeAddress string) error {
	for i := range fleetGateways {
		g, err := s.addGateway(fmt.Sprint("front-", i), storeAddress)
		if err != nil {
			return err
		}
		if err := s.start(g); err != nil {
			return err
		}
	}
	return s.awaitReady(readyTime)
}

// compare logs the tallies of the first and of a later route, and reports whether the later one is
// served at least a quarter as often.
func (s *system) compare(first, later *tally) (bool, error) {
	share := func(name string, t *tally) float64 {
		asked, served := t.asked.Load(), t.served.Load()
		s.add("%s route: %d requests, %d served", name, asked, served)
		return float64(served) / float64(max(1, asked))
	}
	f, l := share("first", first), share("later", later)
	if later.asked.Load() < minJudged || f < 0.5 {
		return false, fmt.Errorf("%w: too few requests, or those of the first route aren't served either", errNotRun)
	}
	return l >= f/4, nil
}

// minJudged is the number of requests of a later route from which it is judged.
const minJudged = 20
