package eventloop

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/upstream"
)

const (
	streamTimeout     = 3 * time.Second // how long the client waits for the response after the last byte of its body
	firstAttemptTakes = 2 * time.Second // time after which the first attempt fails
)

// retryingBalancer sends each request to an endpoint, once more if the first attempt fails, and then fails it.
type retryingBalancer struct {
	balance.Events
	host      balance.Host
	deadlines []time.Duration // deadlines that BodySent reported
}

func (b *retryingBalancer) Request(_ time.Duration, r balance.Request) {
	b.host.Send(r.ID, "a", time.Hour)
}

func (b *retryingBalancer) BodySent(_ time.Duration, _ string, _ int, deadline time.Duration) {
	b.deadlines = append(b.deadlines, deadline)
}

func (b *retryingBalancer) Outcome(_ time.Duration, o balance.Outcome) {
	if o.AttemptNumber == 0 {
		b.host.Send(o.ID, "b", time.Hour)
		return
	}
	b.host.Fail(o.ID)
}

// hangingUpstream sends each request's body. Its first attempt fails after firstAttemptTakes, and its second one hangs.
type hangingUpstream struct {
	Upstream
	isBodySent  [2]bool         // whether attempt 0 and attempt 1 send the last byte of the body
	timeLeft    []time.Duration // time until the end of each attempt's context
	timeoutTold []time.Duration // Request.ResponseTimeout of each attempt
}

func (u *hangingUpstream) Attempt(
	ctx context.Context, _ string, request *upstream.Request, hooks upstream.AttemptHooks,
) (balance.Result, bool, upstream.Response) {
	deadline, _ := ctx.Deadline()
	number := len(u.timeLeft)
	u.timeLeft, u.timeoutTold = append(u.timeLeft, time.Until(deadline)), append(u.timeoutTold, request.ResponseTimeout)
	if reader, ok := request.Upload.NewReader(); ok {
		for err := error(nil); err == nil; {
			_, err = reader.Next()
		}
		reader.Close()
		reader.Release()
	}
	if u.isBodySent[number] {
		hooks.RequestSent()
	}
	if number == 0 {
		time.Sleep(firstAttemptTakes)
		return balance.Reset, false, upstream.Response{}
	}
	<-ctx.Done()
	return balance.TimedOut, false, upstream.Response{}
}

// A request with a streaming body has one deadline, which counts from the last byte that its client has sent. A retry sends that byte
// again, and must not begin the client's time anew: its response would come when the client has given up.
func TestRetryOfStreamingBodyKeepsDeadline(t *testing.T) {
	for name, isBodySent := range map[string][2]bool{
		"both attempts send the body":                     {true, true},
		"the endpoint of the second one does not read it": {true, false},
		"the endpoint of the first one does not read it":  {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &hangingUpstream{isBodySent: isBodySent}
				l := New(NewBalancer, balance.Settings{}, u, nil, slog.New(slog.DiscardHandler))
				balancer := &retryingBalancer{host: host{l}}
				l.balancer = balancer
				ctx, cancel := context.WithCancel(t.Context())
				go l.Run(ctx)
				upload, err := body.NewUpload(ctx, body.NewMemoryPool(2*body.BufferSize), body.Source{
					Body: bytes.NewReader([]byte("body")), SetReadDeadline: func(time.Time) error { return nil }, Size: -1, MaxBytes: 100,
					MinimumRate: body.MinimumRate{IdleTimeout: time.Minute},
				})
				if err != nil {
					t.Fatal(err)
				}
				sentAt := l.Now()
				call := &Call{
					Request: balance.Request{ID: "r", Deadline: sentAt + streamTimeout, StreamUntil: sentAt + time.Hour}, Replies: make(chan Reply, 1),
					HTTPRequest: &upstream.Request{Upload: upload, ResponseTimeout: streamTimeout}, ResponseTimeout: streamTimeout,
				}
				l.Post(func(now time.Duration) { l.Submit(now, call) })
				reply := <-call.Replies
				if took := l.Now() - sentAt; reply.Verdict != Failed || took != streamTimeout {
					t.Errorf("verdict %v after %v, want %v after %v", reply.Verdict, took, Failed, streamTimeout)
				}
				const left = streamTimeout - firstAttemptTakes
				if u.timeLeft[1] != left || u.timeoutTold[1] > left {
					t.Errorf("the second attempt has %v and is told %v, want %v", u.timeLeft[1], u.timeoutTold[1], left)
				}
				for _, deadline := range balancer.deadlines {
					if deadline != sentAt+streamTimeout {
						t.Errorf("the balancer is told the deadline %v, want %v", deadline-sentAt, streamTimeout)
					}
				}
				cancel()
				<-l.Done()
				upload.Close(0, 0)
			})
		})
	}
}
