package check

import (
	"fmt"

	"github.com/citrontiller/citrontiller/quota"
)

// credentials finds credentials that several accounts hold. It doesn't print them.
func credentials(accounts []AccountEntry) []Finding {
	holder := map[string]string{}
	var out []Finding
	for _, a := range accounts {
		shared := map[string]int{}
		for _, c := range a.Credentials {
			if other, ok := holder[c]; ok && other != a.Name {
				shared[other]++
			}
			holder[c] = a.Name
		}
		for _, b := range accounts {
			if n := shared[b.Name]; n > 0 {
				out = append(out, warning(Field{Account, a.Name, Credentials}, "%d also held by account %q, whose requests with it count for this one", n, b.Name))
				delete(shared, b.Name)
			}
		}
	}
	return out
}

// units finds a quota whose unit is not known.
func units(account string, l *quota.Limit) []Finding {
	if l == nil || l.Unit == quota.Requests || l.Unit == quota.Tokens {
		return nil
	}
	return []Finding{{Error, Field{Account, account, Unit}, fmt.Sprintf("%q is not known, allowed: %s, or absent for %s", string(l.Unit), quota.Tokens, quota.Requests)}}
}

// limits finds parts of a quota that contradict each other or have no effect.
func limits(account string, l *quota.Limit) []Finding {
	if l == nil {
		return nil
	}
	if l.PerSecond == 0 {
		if l.Burst > 0 || l.PlainTokens > 0 {
			return []Finding{warning(Field{Account, account, Rate}, "absent or 0: the account has no limit, whatever its other fields")}
		}
		return nil
	}
	var out []Finding
	switch {
	case l.Burst < 1:
		out = append(out, warning(Field{Account, account, Burst}, "%v is below one request", l.Burst))
	case l.Unit == quota.Tokens && l.PlainTokens > l.Burst:
		out = append(out, warning(Field{Account, account, PlainTokens}, "%v is above the burst of %v", l.PlainTokens, l.Burst))
	}
	if l.Unit == quota.Requests && l.PlainTokens > 0 {
		out = append(out, warning(Field{Account, account, PlainTokens}, "has no effect: the limit counts requests"))
	}
	return out
}
