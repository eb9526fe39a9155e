package consensus

import "fmt"

// raftPanic is what raft panics with, through its logger, where its log contradicts what other voters say: the disk has
// lost what this voter had acknowledged, or is a copy of an earlier day.
type raftPanic string

// stopOnRaftPanic is deferred around calls into raft. It ends this voter instead of the daemon, which can go on under
// leases; other panics continue.
func (v *Voter) stopOnRaftPanic() {
	switch cause := recover().(type) {
	case nil:
	case raftPanic:
		v.StopReason = fmt.Errorf("its log lacks what it had promised, as that of an earlier day would: %s", cause)
	default:
		panic(cause)
	}
}

// panickingLogger drops raft's log lines and turns its fatal ones into a raftPanic.
type panickingLogger struct{}

func (panickingLogger) Debug(...any)            {}
func (panickingLogger) Debugf(string, ...any)   {}
func (panickingLogger) Error(...any)            {}
func (panickingLogger) Errorf(string, ...any)   {}
func (panickingLogger) Info(...any)             {}
func (panickingLogger) Infof(string, ...any)    {}
func (panickingLogger) Warning(...any)          {}
func (panickingLogger) Warningf(string, ...any) {}

func (panickingLogger) Fatal(v ...any)                 { panic(raftPanic(fmt.Sprint(v...))) }
func (panickingLogger) Fatalf(format string, v ...any) { panic(raftPanic(fmt.Sprintf(format, v...))) }
func (panickingLogger) Panic(v ...any)                 { panic(raftPanic(fmt.Sprint(v...))) }
func (panickingLogger) Panicf(format string, v ...any) { panic(raftPanic(fmt.Sprintf(format, v...))) }
