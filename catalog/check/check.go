// Package check finds what is wrong in a configuration, and what differs between two. It
// decides only: the platform decodes documents and names their fields.
package check

import (
	"fmt"
	"math"

	"github.com/citrontiller/citrontiller/catalog"
	"github.com/citrontiller/citrontiller/quota"
)

// Severity is the severity of a finding.
type Severity string

const (
	// Error means that the configuration can't be in force: the one before stays.
	Error Severity = "error"
	// Warning means that a part of the configuration has no effect, or not the intended one.
	Warning Severity = "warning"
)

// Object is the kind of object that a field belongs to.
type Object string

// Objects of a configuration. The zero value is the configuration itself.
const (
	Route   Object = "route"
	Service Object = "service"
	Account Object = "account"
)

// Attribute is a property of an object.
type Attribute string

// Attributes of the objects.
const (
	Version       Attribute = "version"
	BodyBytes     Attribute = "body bytes"
	Host          Attribute = "host"
	Prefix        Attribute = "prefix"
	Kind          Attribute = "kind"
	Timeout       Attribute = "timeout"
	TargetLatency Attribute = "target latency"
	Priority      Attribute = "priority"
	Shares        Attribute = "shares"
	Attempts      Attribute = "attempts"
	Public        Attribute = "public"
	Resumable     Attribute = "resumable"
	CacheTokens   Attribute = "cache tokens"
	Credentials   Attribute = "credentials"
	Dedicated     Attribute = "dedicated"
	Rate          Attribute = "rate"
	Burst         Attribute = "burst"
	Unit          Attribute = "unit"
	PlainTokens   Attribute = "plain tokens"
)

// Field names a field of a configuration. Attribute is empty for the whole object, Name for
// the configuration itself.
type Field struct {
	Object    Object
	Name      string
	Attribute Attribute
}

// Number is a number as it is written in a document.
type Number struct {
	Field Field
	Value float64
}

// AccountEntry is a client account as it is written in a document.
type AccountEntry struct {
	*catalog.Account
	Credentials []string
	// Limit is the account's quota, nil for none. Its unit may be unknown.
	Limit *quota.Limit
}

// Document is a configuration with what catalog.Config doesn't keep of it.
type Document struct {
	Config *catalog.Config
	// Services are the names of the listed services.
	Services []string
	// Accounts are the client accounts in the order of the document.
	Accounts []AccountEntry
	Numbers  []Number
}

// Finding is a problem of a configuration.
type Finding struct {
	Severity Severity
	Field    Field
	Message  string
}

// Findings returns the problems of a document: errors first, each kind in the order of
// routes, services and accounts.
func Findings(d Document) []Finding {
	out := numbers(d.Numbers)
	for _, a := range d.Accounts {
		out = append(out, units(a.Name, a.Limit)...)
	}
	out = append(out, routes(d.Config.Routes, d.Services)...)
	out = append(out, services(d.Config.Routes, d.Services)...)
	out = append(out, credentials(d.Accounts)...)
	for _, a := range d.Accounts {
		out = append(out, limits(a.Name, a.Limit)...)
	}
	return out
}

// Errors returns the findings with the severity Error.
func Errors(findings []Finding) []Finding {
	var out []Finding
	for _, f := range findings {
		if f.Severity == Error {
			out = append(out, f)
		}
	}
	return out
}

// NotNewer finds a document that doesn't replace the one in force, because versions only rise.
func NotNewer(d, inForce Document) []Finding {
	if d.Config.Version > inForce.Config.Version {
		return nil
	}
	return []Finding{warning(Field{Attribute: Version}, "%d doesn't replace version %d, which is in force: versions only rise", d.Config.Version, inForce.Config.Version)}
}

// numbers finds numbers that are negative or not finite.
func numbers(all []Number) []Finding {
	var out []Finding
	for _, n := range all {
		if n.Value < 0 || math.IsNaN(n.Value) || math.IsInf(n.Value, 0) {
			out = append(out, Finding{Error, n.Field, fmt.Sprintf("%v is not a finite number of 0 or more", n.Value)})
		}
	}
	return out
}

func warning(f Field, format string, args ...any) Finding {
	return Finding{Warning, f, fmt.Sprintf(format, args...)}
}
