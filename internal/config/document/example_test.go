package document_test

import (
	"fmt"

	"guavaglade.example/guavaglade/internal/config/document"
)

// A value that is wrong gives the default and a fault with its line; a line that
// cannot be read does not hide the others.
func ExampleRead() {
	d := document.Read([]byte("[host]\nzone leon\nslots = many\nport = 80 ; plain\n"))
	host := d.Section("host")
	fmt.Println(host.Int("slots", 8, 1, 64), host.Int("port", 0, 1, 65535), host.Line())
	fmt.Println(d.Faults())
	// Output:
	// 8 80 1
	// line 2: [host] not a key: "zone leon"; write KEY = VALUE
	// line 3: [host] slots: "many" is not a whole number
}
