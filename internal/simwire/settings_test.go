package simwire

import (
	"testing"
	"time"
)

func TestSettingsGiveTheHostItsTimeouts(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want Settings
	}{
		"all are given": {
			`{"Permissions":{"ConnIdleUs":3,"DialTimeoutUs":4},"Lanes":[{"Semantics":"read_like","HardLimitUs":5},{"Semantics":"read_like","HardLimitUs":2}]}`,
			Settings{ConnIdle: 3 * time.Microsecond, DialTimeout: 4 * time.Microsecond, Longest: 5 * time.Microsecond},
		},
		"a class without a limit": {
			`{"Lanes":[{"Semantics":"read_like","HardLimitUs":5},{"Semantics":"read_like"}]}`, Settings{},
		},
		"none is given": {`{}`, Settings{}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseSettings([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			if got.ConnIdle != c.want.ConnIdle || got.DialTimeout != c.want.DialTimeout || got.Longest != c.want.Longest {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestProbesNeedPermissionAndAReportOfLoad(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want bool
	}{
		"permitted and reported": {`{"Permissions":{"MayProbe":true},"Report":{"Fields":["waiting","active"],"How":"pull"}}`, true},
		"not permitted":          {`{"Report":{"Fields":["active"],"How":"pull"}}`, false},
		"silent endpoints":       {`{"Permissions":{"MayProbe":true},"Report":{"Fields":["active"],"How":"silent"}}`, false},
		"no load in the report":  {`{"Permissions":{"MayProbe":true},"Report":{"Fields":["waiting"],"How":"pull"}}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseSettings([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			if got.MayProbe != c.want {
				t.Errorf("MayProbe is %v", got.MayProbe)
			}
		})
	}
}
