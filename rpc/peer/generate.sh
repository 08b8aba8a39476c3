#!/bin/sh
# Regenerates the committed protobuf and twirp code. Needs protoc.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$bin:$PATH" protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. control.proto mesh.proto relay.proto search.proto status.proto
