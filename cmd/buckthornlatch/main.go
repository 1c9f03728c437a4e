// Command buckthornlatch is the proxy fleet's single binary.
package main

import "fmt"

func main() {
	fmt.Println("buckthornlatch")
}
