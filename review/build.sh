#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start, into target/review. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in relay host reader; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$name" "review/standin/$name.cpp"
done
