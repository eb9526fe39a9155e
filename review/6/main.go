// Case6 plays case 6 of the second review (claim.txt says what it shows). It must run in the root of the repository.
package main

import "review/kit2"

func main() { kit2.Main("smuggle", "review/6") }
