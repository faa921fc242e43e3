package check

import (
	"slices"

	"github.com/citrontiller/citrontiller/catalog"
)

// routes finds routes that never match, shares without traffic, and limits that contradict
// each other.
func routes(all []catalog.Route, services []string) []Finding {
	var out []Finding
	first := map[[2]string]string{} // names of routes by host and prefix
	for i := range all {
		r := &all[i]
		key := [2]string{r.Host, r.Prefix}
		if name, ok := first[key]; ok {
			out = append(out, warning(Field{Route, r.Name, Prefix}, "never matches: route %q has the same host and prefix and comes first", name))
		} else {
			first[key] = r.Name
		}
		out = append(out, shares(r, services)...)
		out = append(out, routeLimits(r)...)
	}
	return out
}

// shares finds shares of a route that get no traffic, or whose service isn't listed.
func shares(r *catalog.Route, services []string) []Finding {
	field := Field{Route, r.Name, Shares}
	if len(r.Shares) == 0 {
		return []Finding{warning(field, "no service: all requests are refused")}
	}
	var out []Finding
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
		if !slices.Contains(services, s.Service) {
			out = append(out, warning(field, "service %q is not listed", s.Service))
		}
	}
	for i, s := range r.Shares {
		switch {
		case s.Weight > 0:
		case total == 0 && i == 0:
			out = append(out, warning(field, "service %q gets all requests, because every weight is 0", s.Service))
		default:
			out = append(out, warning(field, "service %q has weight 0 and gets no requests", s.Service))
		}
	}
	return out
}

// routeLimits finds limits of a route that contradict each other.
func routeLimits(r *catalog.Route) []Finding {
	var out []Finding
	switch r.Kind {
	case catalog.Idempotent, catalog.NonIdempotent, catalog.Stream:
	default:
		out = append(out, warning(Field{Route, r.Name, Kind}, "%q is not known: requests are served as %s", string(r.Kind), catalog.NonIdempotent))
	}
	if r.Timeout > 0 && r.Timeout < r.TargetLatency {
		out = append(out, warning(Field{Route, r.Name, Timeout}, "%v is below the target latency of %v", r.Timeout, r.TargetLatency))
	}
	if r.MaxAttempts > 1 && !r.Repeatable() {
		out = append(out, warning(Field{Route, r.Name, Attempts}, "%d, but requests must not be repeated: only those that have not run are sent again", r.MaxAttempts))
	}
	if r.Resumable && r.Kind != catalog.Stream {
		out = append(out, warning(Field{Route, r.Name, Resumable}, "has no effect: only streams are resumed"))
	}
	return out
}

// services finds services that no route names.
func services(routes []catalog.Route, services []string) []Finding {
	used := map[string]bool{}
	for _, r := range routes {
		for _, s := range r.Shares {
			used[s.Service] = true
		}
	}
	var out []Finding
	for _, name := range services {
		if !used[name] {
			out = append(out, warning(Field{Service, name, ""}, "no route leads to it"))
		}
	}
	return out
}
