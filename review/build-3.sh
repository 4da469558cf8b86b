#!/usr/bin/env bash
# Builds the stand-ins of the third review as target/review-3/standins. Their sources end in
# .go.txt, so that the project's build, formatter, linter and tests leave them out.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in "$top"/review/standins-3/*.go.txt; do
  cp "$file" "$folder/$(basename "$file" .txt)"
done
printf 'module standins\n\ngo 1.26\n' >"$folder/go.mod"
mkdir -p "$top/target/review-3"
cd "$folder"
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOWORK=off go build -o "$top/target/review-3/standins" .
