package simwire

import (
	"reflect"
	"testing"
	"time"

	"tuliprock/balance"
)

func TestStartPassesTheSettingsToTheHandler(t *testing.T) {
	r, err := read("CLOCK\tAtTimeUs=0\nSWITCH_TO\tSidecar=0\nSTART\tRandomSeed=18446744073709551615\tConfig=" +
		`{"NInstances":2,"Me":1,"Tier":1,"Tiers":["a","b","c"],"Zone":"z","Lanes":[{"Name":"n","Semantics":"idempotency_key",` +
		`"Group":"cell","OnTimeUs":1,"HardLimitUs":2,"WindowUs":3,"Credit":4,"LateValue":0.5,"AimStretch":2}],` +
		`"Accounts":[{"Name":"t","QuotaPerS":6.5}],"Discovery":"subscribe","ResolutionUs":5000,"New":{"x":[1]},` +
		`"Permissions":{"MayCancel":true,"MayProbe":true,"SecondCopies":true,"RetryAfter":true,` +
		`"TryLimit":4,"MaxRetryAfterUs":7},"Report":{"Fields":["active"],"How":"pull"},` +
		`"Rules":{"AnswerSlackUs":8,"AskWithinUs":9,"ColdFrom":0.3,"ColdUs":10,"DrainGraceUs":11,"FallMultiple":4,` +
		`"TipAfterUs":12}}` + "\nGO\n")
	if err != nil {
		t.Fatal(err)
	}
	us := time.Microsecond
	want := balance.Settings{Seed: 1<<64 - 1, BalancerCount: 2, BalancerIndex: 1, Tier: 1, TiersBelow: 1,
		Classes: []balance.Class{{Name: "n", Idempotency: balance.IdempotencyKey, DedupScope: balance.ScopeCell, DedupWindow: 3 * us, LatencyObjective: us}},
		Tenants: []balance.Tenant{{Name: "t", Quota: 6.5}}, MustSubscribe: true, MaxSubscribeInterval: 9 * us, MaxAttempts: 4,
		CanCancel: true, CanProbe: true, MaxRetryAfter: 7 * us,
		TimerResolution: 5 * time.Millisecond, SlowStartCapacity: 0.3, SlowStartDuration: 10 * us}
	if got := r.runningSettings[0]; !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestSettingsContainTheTimeoutsOfTheHost(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want Settings
	}{
		"all are given": {
			`{"Permissions":{"ConnIdleUs":3,"DialTimeoutUs":4},"Lanes":[{"Semantics":"read_like","HardLimitUs":5},{"Semantics":"read_like","HardLimitUs":2}]}`,
			Settings{IdleConnectionTimeout: 3 * time.Microsecond, DialTimeout: 4 * time.Microsecond, LongestClientWait: 5 * time.Microsecond},
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
			if got.IdleConnectionTimeout != c.want.IdleConnectionTimeout || got.DialTimeout != c.want.DialTimeout || got.LongestClientWait != c.want.LongestClientWait {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestLoadProbesNeedPermissionAndLoadReports(t *testing.T) {
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
			if got.CanProbe != c.want {
				t.Errorf("CanProbe is %v, want %v", got.CanProbe, c.want)
			}
		})
	}
}

// Operators read the errors of ParseSettings, so they must name the invalid member as it is in the settings object.
func TestSettingsErrorsNameTheMember(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"a text for a number":  {`{"NInstances":"x"}`, "parsing Config: json: cannot unmarshal string into Go struct field settings.NInstances of type int"},
		"within a class":       {`{"Lanes":[{"OnTimeUs":"x"}]}`, "parsing Config: json: cannot unmarshal string into Go struct field .Lanes.OnTimeUs of type int64"},
		"no object":            {`[]`, "parsing Config: json: cannot unmarshal array into Go value of type simwire.settings"},
		"an unknown semantics": {`{"Lanes":[{"Name":"c","Semantics":"x"}]}`, `class "c" in Config has unknown Semantics "x"`},
		"an unknown group":     {`{"Lanes":[{"Name":"c","Semantics":"read_like","Group":"x"}]}`, `class "c" in Config has unknown Group "x"`},
		"an unknown discovery": {`{"Discovery":"x"}`, `unknown Discovery "x" in Config`},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseSettings([]byte(c.text)); err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}
