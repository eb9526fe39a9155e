package main

import (
	"context"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"tuliprock/internal/testkit/crowd"
)

func TestZZ(t *testing.T) {
	stage := startStage(t, 1, nil)
	only := regexp.MustCompile(os.Getenv("TULIPROCK_TEST_CROWD_FORMS"))
	var forms []crowd.Form
	for _, f := range crowd.Forms {
		if only.MatchString(f.Name) {
			forms = append(forms, f)
		}
	}
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	wait := playCrowd(ctx, stage, 1, crowdClients, forms)
	go usualRequests(ctx, stage)
	time.Sleep(4 * time.Second)
	m, _ := stage.Memory()
	stage.Signal(syscall.SIGUSR1)
	time.Sleep(500 * time.Millisecond)
	t.Logf("%+v", m)
	for _, l := range strings.Split(stage.Log(), "\n") {
		if strings.Contains(l, "ZZ") {
			t.Log(l)
		}
	}
	stop()
	wait()
}
