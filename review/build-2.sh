#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Their sources end in .go.txt,
# so that the tools that read the project's Go files leave them out.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out/src"
mkdir -p "$out/src"
for file in review/standins-2/*.go.txt; do
  cp "$file" "$out/src/$(basename "$file" .txt)"
done
printf 'module drill\n\ngo 1.26\n' >"$out/src/go.mod"
cd "$out/src"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../drill .
