package httpsd

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an invalid target that causes valid ones to be dropped.
func TestInvalidTargets(t *testing.T) {
	is := is.New(t)
	group := func(target, id, kind, state string) Group {
		return Group{Targets: []string{target}, Labels: map[string]string{LabelID: id, LabelService: "s", LabelKind: kind, LabelState: state}}
	}
	list, invalid := parseHosts([]Group{
		group("10.0.0.1:80", "a", "engine", ""), group("10.0.0.1", "b", "engine", ""), group("10.0.0.2:80", "a", "plain", ""),
		group("10.0.0.3:80", "c", "pod", ""), group("10.0.0.4:80", "d", "plain", "gone"), group("10.0.0.5:80", "", "plain", ""),
		group("10.0.0.6:80", "e", "plain", "leaving"),
	})
	is.Equal(len(list), 2)
	is.Equal(len(invalid), 5)
}
