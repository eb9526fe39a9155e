// Package kit2 plays the cases of the second review: stand-ins for clients, endpoints and discovery on loopback addresses, around the
// project's own daemon, which it starts with the run command of the deploy file. The folders of the cases and the folder extra have the
// programs. It uses the standard library only.
package kit2

import (
	"fmt"
	"os"
)

var cases = map[string]func(*env){
	"smuggle":  smuggle,
	"bodies":   bodies,
	"latecopy": lateCopy,
	"crowd":    crowd,
	"upload":   upload,
	"commands": commands,
	"silence":  silence,
	"move":     move,
}

// Main plays a case and ends the process: with code 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. It writes
// record.txt to the folder dir, and must be called in the root of the repository.
func Main(name, dir string) {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case is called %q\n", name)
		os.Exit(2)
	}
	play(newEnv(dir))
}
