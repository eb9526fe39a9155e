package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tuliprock/internal/testkit/testpeer"
)

// scripted is an agent in virtual time, whose calls are answered by a function on a goroutine each.
type scripted struct {
	serve func(s *scripted, w io.Writer, query string, n int)
	mu    sync.Mutex
	calls []string // guarded by mu, until all wait
	heard []int64
	at    []time.Duration // of heard, since began
	began time.Time
}

// play follows a scripted agent for so long, and gives it as it is then.
func play(t *testing.T, d time.Duration, serve func(s *scripted, w io.Writer, query string, n int)) (s *scripted) {
	synctest.Test(t, func(t *testing.T) {
		version := int64(7)
		s = &scripted{serve: serve, began: time.Now()}
		client := NewAgentClient("agent:1", &version, false, slog.New(slog.DiscardHandler))
		client.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe()
			go s.conn(there)
			return here, nil
		}}}
		client.Deliver = func(m ListUpdate) { s.heard, s.at = append(s.heard, *m.Version), append(s.at, time.Since(s.began)) }
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); client.Run(ctx) }()
		time.Sleep(d) // virtual
		synctest.Wait()
		stop()
		<-ended
		time.Sleep(2 * time.Minute) // virtual: the agent's goroutines end
	})
	return s
}

func (s *scripted) conn(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.calls = append(s.calls, r.URL.RawQuery)
	n := len(s.calls)
	s.mu.Unlock()
	s.serve(s, nc, r.URL.RawQuery, n)
	_, _ = in.ReadByte() // the caller's end
}

// open begins an answer that stays open; say writes a part of it.
func open(w io.Writer) { io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") }

func say(w io.Writer, text string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

func whole(w io.Writer, text string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func (s *scripted) sinceBegan() time.Duration { return time.Since(s.began) }

// breathe keeps a watch alive; its last breath is at the instant given.
func (s *scripted) breathe(w io.Writer, until time.Duration) {
	for s.sinceBegan() <= until {
		say(w, "\n")
		time.Sleep(min(2*time.Second, until-s.sinceBegan()+1)) // virtual
	}
}

// What a watch misses that has fallen silent is heard within the 6 s after which it counts as told, though the next two calls meet
// silence, too: whether they are accepted and say nothing, or open a watch that says nothing.
func TestUpdateMissedBySilentWatchArrivesInTime(t *testing.T) {
	const silentFrom = 10 * time.Second
	for name, mute := range map[string]func(io.Writer){"calls that meet silence": func(io.Writer) {}, "watches that open and say nothing": open} {
		t.Run(name, func(t *testing.T) {
			s := play(t, silentFrom+6*time.Second, func(s *scripted, w io.Writer, query string, n int) {
				switch {
				case n == 1:
					open(w)
					s.breathe(w, silentFrom)
				case n < 4:
					mute(w)
				case query == "":
					whole(w, testpeer.Members(8, true))
				default:
					open(w)
					say(w, testpeer.Members(8, false)+"\n")
				}
			})
			if len(s.heard) == 0 {
				t.Errorf("nothing was heard 6 s after the silence began, calls %q", s.calls)
			}
		})
	}
}

// An agent that is silent for long answers the calls that wait when it returns, and what it tells then counts at once: one always
// waits, but for a short gap.
func TestUpdateArrivesAtOnceWhenAgentReturns(t *testing.T) {
	const down = 5 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		up := down + time.Duration(rapid.IntRange(int(5*time.Second), int(60*time.Second)).Draw(rt, "down for"))
		s := play(t, up+2*time.Second, func(s *scripted, w io.Writer, _ string, n int) {
			if n == 1 {
				open(w)
				s.breathe(w, down)
				return
			}
			time.Sleep(max(up-s.sinceBegan(), 0)) // virtual
			open(w)
			say(w, testpeer.Members(8, false)+"\n")
		})
		if len(s.at) == 0 || s.at[0] < up || s.at[0]-up > 2*minBackoff {
			rt.Fatalf("down until %v, heard after %v", up, s.at)
		}
	})
}

// A watch that says nothing while nothing has changed, but breathes, is kept: after one list it is taken for what it is.
func TestWatchWithOnlyHeartbeatsIsKept(t *testing.T) {
	s := play(t, 50*time.Second, func(s *scripted, w io.Writer, query string, n int) {
		if query == "" {
			whole(w, testpeer.Members(8, true))
			return
		}
		open(w)
		time.Sleep(2 * time.Second) // virtual
		s.breathe(w, time.Minute)
	})
	if want := []string{"watch=1&after=7", "", "watch=1&after=8"}; fmt.Sprint(s.calls) != fmt.Sprint(want) {
		t.Errorf("calls %q, want %q", s.calls, want)
	}
}

// A message that begins and does not end is spoilt, whether it stops or goes on for ever: the whole list is asked for at once, and
// not when the watch falls silent.
func TestUnfinishedMessageRefetchesList(t *testing.T) {
	const part = 64 << 10
	for name, c := range map[string]struct {
		more  int
		heard time.Duration // within it: who was told off there would get no more
	}{"it stops": {0, 500 * time.Millisecond}, "it goes on for ever": {2 * maxMessageBytes / part, pushedFirstByteTimeout - 1}} {
		t.Run(name, func(t *testing.T) {
			s := play(t, c.heard, func(s *scripted, w io.Writer, query string, n int) {
				if query == "" {
					whole(w, testpeer.Members(9, true))
					return
				}
				open(w)
				if n > 1 {
					s.breathe(w, time.Minute)
					return
				}
				say(w, "\n")
				say(w, `{"version":8,"full":false,"servers":[`+"\n")
				for range c.more {
					say(w, strings.Repeat(" ", part))
				}
			})
			if len(s.heard) != 1 || s.heard[0] != 9 {
				t.Errorf("heard %v, calls %q", s.heard, s.calls)
			}
		})
	}
}

const indented = "{\n  \"version\": 8,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"a } \\\" {\",\n      \"addr\": \"127.0.0.1:1\",\n      \"state\": \"Ready\"\n    }\n  ]\n}\n"

// Lists may come indented, and in pieces: a watch cut at every byte says the same, as does one of single bytes, and no list has to be
// asked for.
func TestWatchSplitAtEveryByteReadsTheSame(t *testing.T) {
	stream := "\n" + indented + "\n\n" + testpeer.Members(9, false, testpeer.Member("b", "127.0.0.1:2", "Terminating")) + "\r\n" + indented + testpeer.Members(10, false) + "\n\n"
	for cut := range len(stream) {
		parts := []string{stream[:cut], stream[cut:]}
		if cut == 0 {
			parts = strings.Split(stream, "")
		}
		s := play(t, time.Second, func(s *scripted, w io.Writer, _ string, _ int) {
			open(w)
			for _, part := range parts {
				say(w, part)
			}
		})
		if fmt.Sprint(s.heard) != "[8 9 8 10]" || len(s.calls) != 1 {
			t.Errorf("cut at %d: heard %v, calls %q", cut, s.heard, s.calls)
		}
	}
}

// The same over a socket: an indented list, and a change.
func TestWatchReadsIndentedList(t *testing.T) {
	f := follow(t, 7, nil, indented+testpeer.Members(9, false)+"\nSILENT")
	f.expectVersions(t, 8, 9)
	f.expectCalls(t, "watch=1&after=7")
}
