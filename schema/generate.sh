#!/usr/bin/env bash
# Generates the Go code of the .proto files. This needs protoc from Debian's
# package protobuf-compiler; the rest of the build does not.
set -eu
cd "$(dirname "$0")"
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$tools:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
	--go-drpc_out=. --go-drpc_opt=paths=source_relative ./*.proto
