// Extra plays what the second review has shown beside its five cases: "extra commands|silence|move FOLDER", in the root of the repository.
package main

import (
	"fmt"
	"os"

	"review/kit2"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: extra commands|silence|move FOLDER")
		os.Exit(2)
	}
	kit2.Main(os.Args[1], os.Args[2])
}
