package rehearse

import (
	"strings"
	"testing"
)

// testDayText is the text of a small day's file. Its faults create occasions on which each invariant can be violated.
const testDayText = `format = 1
name = "test"
seed = 3
length = "8s"
[load]
use = 0.5
quota = 2
[roster]
notice = "100ms"
add = "100ms"
spread = "10ms"
[clients]
retries = 1
backoff = "50ms"
[rules]
fall_after = "1s"
[sidecars]
count = 2
[[tier]]
name = "front"
nodes = 4
work = 0.5
handshake = "1ms"
idle = "10s"
  [[tier.kind]]
  name = "k"
  share = 1
  cores = 2
  speed = 0.5
  slots = 20
  room = 5
  cold_from = 0.3
  cold_for = "6s"
[[tier]]
name = "back"
nodes = 4
work = 0.5
handshake = "1ms"
idle = "10s"
  [[tier.kind]]
  name = "k"
  share = 1
  cores = 2
  speed = 0.5
  slots = 20
  room = 5
  cold_from = 0.3
  cold_for = "6s"
[[class]]
name = "look"
effect = "safe"
share = 2
work = "40ms"
aim = "1s"
deadline = "3s"
worth = 5
[[class]]
name = "pay"
effect = "unsafe"
share = 1
work = "40ms"
aim = "1s"
deadline = "3s"
worth = 5
[[class]]
name = "book"
effect = "keyed"
window = "5s"
share = 1
work = "40ms"
aim = "1s"
deadline = "3s"
worth = 5
[[tenant]]
name = "t"
share = 1
usage = 1
[[trouble]]
kind = "reset"
at = "1s"
for = "2s"
share = 0.5
size = 0.5
[[trouble]]
kind = "drain"
at = "2s"
for = "1500ms"
share = 0.25
down = "300ms"
[[trouble]]
kind = "restart"
at = "6s"
for = "1s"
share = 0.5
how = "kill"
down = "300ms"
`

// newTestPlan draws a plan of the test's day. The changes are pairs of a text in the day's file and its replacement.
func newTestPlan(tb testing.TB, changes ...string) *Plan {
	tb.Helper()
	text := testDayText
	for i := 0; i+1 < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			tb.Fatalf("the test's day has no %q", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	d, err := Parse("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	p, err := NewPlan(d, d.Seed, 1)
	if err != nil {
		tb.Fatal(err)
	}
	return p
}
