package document_test

import (
	"fmt"

	"guavaglade.example/guavaglade/internal/config/document"
)

// An invalid value yields the default and a fault with its line number; an invalid
// line does not prevent the others from being read.
func ExampleRead() {
	d := document.Read([]byte("[host]\nzone leon\nslots = many\nport = 80 ; plain\n"))
	host := d.Section("host")
	fmt.Println(host.Int("slots", 8, 1, 64), host.Int("port", 0, 1, 65535), host.Line())
	fmt.Println(d.Faults())
	// Output:
	// 8 80 1
	// line 2: [host] no equals sign: "zone leon"; want KEY = VALUE
	// line 3: [host] slots: "many" is not a whole number
}
