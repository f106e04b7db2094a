//go:build tools

// Package tools pins the formatter and the linter.
package tools

import (
	_ "github.com/mgechev/revive"
	_ "mvdan.cc/gofumpt"
)
