#!/usr/bin/env bash
# Regenerates gen/ from proto/. Requires protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf gen
mkdir -p gen
protoc -Iproto --cpp_out=gen --grpc_out=gen \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/workshatch/v1/*.proto
# Only control.proto declares services; remove the empty gRPC files of the others.
for name in configuration peer raft relay settings; do
  rm -f "gen/workshatch/v1/$name.grpc.pb.h" "gen/workshatch/v1/$name.grpc.pb.cc"
done
