#!/usr/bin/env bash
# Regenerates peer.pb.go and peer_grpc.pb.go from peer.proto. Needs protoc 3.21.12.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc --go_out=. --go_opt=module=fuchsiaflow --go-grpc_out=. --go-grpc_opt=module=fuchsiaflow internal/rpc/peer.proto
