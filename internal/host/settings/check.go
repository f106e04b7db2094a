package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
)

var zoneName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{0,62}$`)

func checkZone(name string) error {
	if !zoneName.MatchString(name) {
		return fmt.Errorf("zone %q: want 1 to 63 letters, digits and dashes", name)
	}
	return nil
}

// checkListenAddress refuses an address unless this host can listen on it and others can
// connect to it. With port 0 the operating system chooses the port.
func checkListenAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%q is not IP:port; host names are not allowed", address)
	}
	if a.Addr().IsUnspecified() {
		return fmt.Errorf("%q: unspecified IP; callers and peers must be able to connect to the address", address)
	}
	return nil
}

// checkDialAddress refuses an address unless this host can connect to it.
func checkDialAddress(address string) error {
	if err := checkListenAddress(address); err != nil {
		return err
	}
	if netip.MustParseAddrPort(address).Port() == 0 {
		return fmt.Errorf("%q: port 0 cannot be reached", address)
	}
	return nil
}

// checkHash refuses a text that is not a SHA-256 in hexadecimal.
func checkHash(hash string) error {
	if b, err := hex.DecodeString(hash); err != nil || len(b) != 32 {
		return fmt.Errorf("not a SHA-256 of 64 hexadecimal digits")
	}
	return nil
}
