#!/bin/sh
# Regenerates the protobuf code. Requires protoc 3.21; the tools module pins the plugins' versions.
set -e
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -r "$bin"' EXIT
GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative *.proto
