#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2. Needs g++ alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in review/standin-2/*.cpp; do
  g++ -std=c++20 -O1 -pthread -o "target/review-2/$(basename "$program" .cpp)" "$program"
done
