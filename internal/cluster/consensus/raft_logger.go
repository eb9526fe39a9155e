package consensus

import "fmt"

// raftPanic is the value with which raft panics, through its logger, if the voter's log contradicts messages of other
// voters. The cause is a disk that has lost entries which this voter had acknowledged, or that was replaced by an older
// copy of itself.
type raftPanic string

// stopOnRaftPanic is deferred around calls into raft. On a raftPanic it stops this voter instead of the daemon, which can
// continue under leases that other voters grant. Other panics are passed on.
func (v *Voter) stopOnRaftPanic() {
	switch cause := recover().(type) {
	case nil:
	case raftPanic:
		v.StopReason = fmt.Errorf("its log lacks entries that it had acknowledged, as an older copy of its disk would: %s", cause)
	default:
		panic(cause)
	}
}

// panickingLogger is the logger of raft. It drops log lines, and panics with a raftPanic at a call of Fatal or Panic.
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
