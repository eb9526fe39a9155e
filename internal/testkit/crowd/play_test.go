package crowd

import (
	"errors"
	"testing"
	"time"
)

// The check must fail for each rule that it holds, or a green play means nothing.
func TestPlayFindsEachViolation(t *testing.T) {
	sentAt := time.Unix(1000, 0)
	answer := func(status int, took time.Duration, body string, err error) Answer {
		a := Answer{ID: "a", Status: status, Body: body, Err: err, SentAt: sentAt, EndedAt: sentAt.Add(took)}
		if status != 0 {
			a.BeganAt = a.EndedAt
		}
		return a
	}
	complete, cut := ResponseBody("a", 0), errors.New("unexpected EOF")
	for _, row := range []struct {
		name        string
		class       string
		answer      Answer
		runs        int
		interrupted bool
		want        int
	}{
		{"served", DispatchClass, answer(200, time.Second, complete, nil), 1, false, 0},
		{"refused without a run", DispatchClass, answer(503, time.Second, "", nil), 0, false, 0},
		{"a lookup that ran twice", LookupClass, answer(200, time.Second, complete, nil), 2, false, 0},
		{"an unsafe request that ran twice", DispatchClass, answer(200, time.Second, complete, nil), 2, false, 1},
		{"a refusal of what ran", DispatchClass, answer(503, time.Second, "", nil), 1, false, 1},
		{"a late answer", LookupClass, answer(502, 3*time.Second, "", nil), 0, false, 1},
		{"no answer", LookupClass, answer(0, 3*time.Second, "", cut), 0, false, 1},
		{"no answer of a process that was killed", LookupClass, answer(0, 3*time.Second, "", cut), 0, true, 0},
		{"closed without an answer", LookupClass, answer(0, time.Second, "", cut), 0, false, 1},
		{"closed as the request came", LookupClass, answer(0, time.Millisecond, "", cut), 0, false, 0},
		{"another request's answer", LookupClass, answer(200, time.Second, ResponseBody("b", 0), nil), 1, false, 1},
		{"an answer that is cut off", LookupClass, answer(200, time.Second, complete[:3], cut), 1, false, 1},
	} {
		s := sentRequest{Request{Class: row.class, Deadline: 2 * time.Second, Patience: 4 * time.Second}, row.answer}
		if got := s.violations(row.runs, row.interrupted); len(got) != row.want {
			t.Errorf("%s: violations %v, want %d", row.name, got, row.want)
		}
	}
}

func TestPlayIsDecidedByItsSeed(t *testing.T) {
	plays := map[string]bool{}
	for seed := range uint64(50) {
		play := DrawPlay(seed).String()
		if again := DrawPlay(seed).String(); again != play {
			t.Errorf("seed %d draws %q and %q", seed, play, again)
		}
		plays[play] = true
	}
	if len(plays) != 50 {
		t.Errorf("50 seeds draw %d plays", len(plays))
	}
}
