package main

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"tuliprock/internal/cluster/status"
)

// putTimeout is the timeout of a put, which may have to wait for an election.
const putTimeout = 4 * time.Second

// putText puts the settings text of a mark, with a comment of pad bytes, through a daemon. It records the digest of the text.
func (s *faultSchedule) putText(d int, mark string, pad int) (*status.CommandResult, error) {
	text := s.settingsText(mark, pad)
	s.mu.Lock()
	s.markByDigest[sha256.Sum256(text)] = mark
	s.mu.Unlock()
	result, err := s.daemons[d].putDocument(mark, "shared", text, putTimeout)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.digestByVersion[result.Version] = sha256.Sum256(text)
	}
	return result, err
}

// flagInput is an operation on the flag: a put of a value, or a read if isPut is false.
type flagInput struct {
	isPut bool
	value string // value to put; empty for a read
}

// flagModel models the flag as a register, for the check of linearizability. A flag that was never put reads as empty.
var flagModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(flagInput); in.isPut {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// indeterminateReturnTime is the return time that is recorded for a put with an error: it is later than all others, since the
// put may still take effect at any time.
const indeterminateReturnTime = time.Hour

// putFlag puts a value of the flag through a daemon, and records the operation.
func (s *faultSchedule) putFlag(d int, value string) {
	calledAt := s.elapsed()
	_, err := s.daemons[d].putDocument(value, flagName, []byte(value), putTimeout)
	returnedAt := s.elapsed()
	if err != nil {
		returnedAt = indeterminateReturnTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flagOperations = append(s.flagOperations, porcupine.Operation{
		ClientId: len(s.flagOperations), Input: flagInput{true, value}, Call: int64(calledAt), Return: int64(returnedAt), Output: "",
	})
}

// readFlag reads the flag through a daemon, and records the operation. A read that fails is not recorded.
func (s *faultSchedule) readFlag(d int) {
	calledAt := s.elapsed()
	result, err := status.Call(s.daemons[d].adminAddr, []string{"show", flagName}, nil, putTimeout)
	value := ""
	if err == nil {
		value = string(result.Body)
	} else if !strings.Contains(err.Error(), "no such document") {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flagOperations = append(s.flagOperations, porcupine.Operation{
		ClientId: len(s.flagOperations), Input: flagInput{}, Call: int64(calledAt), Return: int64(s.elapsed()), Output: value,
	})
}
