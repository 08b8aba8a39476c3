// Package examples embeds the example configuration documents. The demo of the
// command-line tool runs with them.
package examples

import _ "embed"

// Matlane is a configuration document for eight VMs in four availability zones.
//
//go:embed matlane.toml
var Matlane []byte

// GulfHinge is a configuration document for eight VMs in three availability zones.
//
//go:embed gulf-hinge.toml
var GulfHinge []byte
