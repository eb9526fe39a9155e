// Case10 plays case 10 of the second review (claim.txt says what it shows). It must run in the root of the repository.
package main

import "review/kit2"

func main() { kit2.Main("upload", "review/10") }
