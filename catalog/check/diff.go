package check

import (
	"fmt"
	"slices"
	"strings"

	"github.com/citrontiller/citrontiller/catalog"
)

// Change is the difference in one field between two configurations. Old or New is empty if
// the field is missing there. Credentials are counted, not shown.
type Change struct {
	Field    Field
	Old, New string
}

// value is a field with its text.
type value struct {
	field Field
	text  string
}

// Diff returns the differences from a to b: first those of b's fields in its order, then what
// b lacks. Objects are matched by name. Of an object that only b has, fields with a default
// value are left out; of one that only a has, all fields.
func Diff(a, b Document) []Change {
	before, after := values(a), values(b)
	var out []Change
	for _, v := range after {
		old, known := find(before, v.field)
		if old == v.text || !known && isDefault(v.text) {
			continue
		}
		out = append(out, Change{v.field, old, v.text})
	}
	for _, v := range before {
		_, kept := find(after, v.field)
		_, objectKept := find(after, Field{v.field.Object, v.field.Name, ""})
		if !kept && (objectKept || v.field.Attribute == "") {
			out = append(out, Change{v.field, v.text, ""})
		}
	}
	return append(out, credentialChanges(a, b)...)
}

// isDefault reports whether a text is that of a field that isn't given.
func isDefault(text string) bool { return text == "" || text == "0" || text == "0s" || text == "false" }

// find returns the text of the first value of a field, false without one.
func find(all []value, f Field) (string, bool) {
	i := slices.IndexFunc(all, func(v value) bool { return v.field == f })
	if i < 0 {
		return "", false
	}
	return all[i].text, true
}

// values returns the fields of a document, those of each object after the object itself.
func values(d Document) []value {
	var out []value
	add := func(o Object, name string, attribute Attribute, text string) {
		out = append(out, value{Field{o, name, attribute}, text})
	}
	add("", "", "", "listed")
	add("", "", Version, fmt.Sprint(d.Config.Version))
	add("", "", BodyBytes, fmt.Sprint(d.Config.Limits.MaxBodyBytes))
	for i := range d.Config.Routes {
		routeValues(&d.Config.Routes[i], add)
	}
	for _, s := range d.Services {
		add(Service, s, "", "listed")
		if n := d.Config.KVCapacityTokens[s]; n > 0 {
			add(Service, s, CacheTokens, fmt.Sprint(n))
		}
	}
	for _, a := range d.Accounts {
		accountValues(a, add)
	}
	return out
}

func routeValues(r *catalog.Route, add func(Object, string, Attribute, string)) {
	var services []string
	for _, s := range r.Shares {
		services = append(services, fmt.Sprintf("%s %d", s.Service, s.Weight))
	}
	add(Route, r.Name, "", "listed")
	add(Route, r.Name, Host, r.Host)
	add(Route, r.Name, Prefix, r.Prefix)
	add(Route, r.Name, Kind, string(r.Kind))
	add(Route, r.Name, Timeout, r.Timeout.String())
	add(Route, r.Name, TargetLatency, r.TargetLatency.String())
	add(Route, r.Name, Priority, fmt.Sprint(r.Priority))
	add(Route, r.Name, Shares, strings.Join(services, ", "))
	add(Route, r.Name, Attempts, fmt.Sprint(r.MaxAttempts))
	add(Route, r.Name, Public, fmt.Sprint(r.Public))
	add(Route, r.Name, Resumable, fmt.Sprint(r.Resumable))
}

func accountValues(a AccountEntry, add func(Object, string, Attribute, string)) {
	add(Account, a.Name, "", "listed")
	if a.HasPriority {
		add(Account, a.Name, Priority, fmt.Sprint(a.Priority))
	}
	add(Account, a.Name, Dedicated, fmt.Sprint(a.Dedicated))
	if a.Limit == nil || a.Limit.PerSecond == 0 {
		return
	}
	add(Account, a.Name, Rate, fmt.Sprint(a.Limit.PerSecond))
	add(Account, a.Name, Burst, fmt.Sprint(a.Limit.Burst))
	add(Account, a.Name, Unit, string(a.Limit.Unit))
	if a.Limit.PlainTokens > 0 {
		add(Account, a.Name, PlainTokens, fmt.Sprint(a.Limit.PlainTokens))
	}
}

// credentialChanges counts the credentials that accounts of both documents get and lose.
func credentialChanges(a, b Document) []Change {
	var out []Change
	for _, after := range b.Accounts {
		i := slices.IndexFunc(a.Accounts, func(x AccountEntry) bool { return x.Name == after.Name })
		if i < 0 {
			continue
		}
		before := a.Accounts[i]
		lost, got := lacking(before.Credentials, after.Credentials), lacking(after.Credentials, before.Credentials)
		if lost+got > 0 {
			out = append(out, Change{Field{Account, after.Name, Credentials}, fmt.Sprintf("%d", len(before.Credentials)),
				fmt.Sprintf("%d (%d new, %d removed)", len(after.Credentials), got, lost)})
		}
	}
	return out
}

// lacking returns how many of some credentials others lack.
func lacking(some, others []string) int {
	n := 0
	for _, c := range some {
		if !slices.Contains(others, c) {
			n++
		}
	}
	return n
}
