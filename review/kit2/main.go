// Kit2 plays the cases of the second review: stand-ins for clients, endpoints and discovery on loopback addresses, around the
// project's own daemon, which it starts with the run command of the deploy file. Usage: review2 CASE FOLDER, from the root of the
// repository. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*env){
	"crowd":    crowd,
	"smuggle":  smuggle,
	"upload":   upload,
	"silence":  silence,
	"move":     move,
	"bodies":   bodies,
	"commands": commands,
	"latecopy": lateCopy,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](newEnv(os.Args[2]))
}
