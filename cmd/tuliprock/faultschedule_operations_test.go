package main

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"tuliprock/internal/cluster/status"
)

// putTimeout bounds a put, which may have to wait for an election.
const putTimeout = 4 * time.Second

// putText puts a settings text with a mark, padded by pad bytes, by way of a daemon.
func (s *faultSchedule) putText(d int, mark string, pad int) (*status.CommandResult, error) {
	text := s.settingsText(mark, pad)
	s.mu.Lock()
	s.markByDigest[sha256.Sum256(text)] = mark
	s.mu.Unlock()
	a, err := s.daemons[d].putDocument(mark, "shared", text, putTimeout)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.digestByVersion[a.Version] = sha256.Sum256(text)
	}
	return a, err
}

// flagInput is an operation on the flag: a put of a value, or a read.
type flagInput struct {
	isPut bool
	value string
}

// flagModel is the flag as a register, for the check of linearizability.
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

// indeterminateReturnTime is when an operation returns whose outcome is not known: after all others.
const indeterminateReturnTime = time.Hour

func (s *faultSchedule) putFlag(d int, value string) {
	began := s.elapsed()
	_, err := s.daemons[d].putDocument(value, flagName, []byte(value), putTimeout)
	ends := s.elapsed()
	if err != nil {
		ends = indeterminateReturnTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flagOperations = append(s.flagOperations, porcupine.Operation{
		ClientId: len(s.flagOperations), Input: flagInput{true, value}, Call: int64(began), Return: int64(ends), Output: "",
	})
}

func (s *faultSchedule) readFlag(d int) {
	began := s.elapsed()
	a, err := status.Call(s.daemons[d].adminAddr, []string{"show", flagName}, nil, putTimeout)
	value := ""
	if err == nil {
		value = string(a.Body)
	} else if !strings.Contains(err.Error(), "no such document") {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flagOperations = append(s.flagOperations, porcupine.Operation{
		ClientId: len(s.flagOperations), Input: flagInput{}, Call: int64(began), Return: int64(s.elapsed()), Output: value,
	})
}
