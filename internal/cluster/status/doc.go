// Package status implements the text protocol with which a daemon reports its view of the cluster and the settings agreed on by
// the cluster, on its admin address. The daemon writes each of Fleet, Settings and CommandResult as lines of key=value fields,
// which the operators' commands and the tests parse. With --json, these commands print the same types as JSON.
//
// Operators and their scripts read the lines and the JSON keys: these never change, and only new ones are added. A reader
// ignores unknown lines and fields, so that a later version may send more.
//
// The package has no state and no goroutine. A function that calls a daemon takes at most twice the given timeout for each
// request: once to connect, and once for the exchange on the connection.
package status
