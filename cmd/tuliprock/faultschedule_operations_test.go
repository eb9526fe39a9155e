package main

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"tuliprock/internal/cluster/status"
)

// putTimeout is the timeout of a put of a document, which may have to wait until the voters have elected a leader.
const putTimeout = 4 * time.Second

// putSettings puts, through daemon d, a settings text that sets settingsMarkHeader to mark and has a comment of padBytes bytes. It
// records the mark by the digest of the text, and the digest by the version that the put made.
func (s *faultSchedule) putSettings(d int, mark string, padBytes int) (*status.CommandResult, error) {
	text := s.settingsText(mark, padBytes)
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

// flagInput is an operation on the document flagName: a put of a value, or a read if isPut is false.
type flagInput struct {
	isPut bool
	value string // value to put; empty for a read
}

// flagModel models the document flagName as a register, for the check of linearizability. Before the first put the document
// reads as empty.
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

// putFlag puts value as the document flagName through daemon d, and records the operation.
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

// readFlag reads the document flagName through daemon d, and records the operation. A document that does not exist is recorded
// as empty. A read that fails for another reason is not recorded.
func (s *faultSchedule) readFlag(d int) {
	calledAt := s.elapsed()
	result, err := status.SendCommand(s.daemons[d].adminAddr, []string{"show", flagName}, nil, putTimeout)
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
