//go:build tools

// Package tools pins the language server, which needs another version of its
// libraries than the formatter and the linter do.
package tools

import _ "golang.org/x/tools/gopls"
