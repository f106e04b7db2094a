// Command guavaglade places multi-accelerator jobs under client account
// guarantees.
package main

func main() {}
