// Package status is the text protocol by which a daemon reports, on the operators' address, its view of the cluster and the
// settings that the cluster has agreed on. Each of Fleet, Settings and CommandResult is written by the daemon as lines of
// key=value fields, and read back from them by the command line and the tests. The JSON forms are what the command line
// prints with --json.
//
// The lines and the JSON keys are read by operators and their scripts: they never change, and only new ones are added. A
// reader ignores lines and fields that it does not know, so that a later version may send more.
//
// The package has no state and no goroutine. A function that calls a daemon returns within the time that it is given for
// each request.
package status
