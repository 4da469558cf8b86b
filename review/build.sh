#!/usr/bin/env bash
# Builds the stand-ins of the cases. Their sources end in .go.txt, because the project's checks
# read every Go file and keep the names of the users' protocol to the folder platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=target/review-standins-src
rm -rf "$sources"
mkdir -p "$sources"
for file in review/standins/*.go.txt; do
  cp "$file" "$sources/$(basename "${file%.txt}")"
done
go build -tags review -o target/review-standins "./$sources"
