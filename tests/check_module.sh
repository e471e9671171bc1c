#!/usr/bin/env bash
# The module's limits: 1,040 non-blank lines, 110 columns, and no I/O.
set -euo pipefail
cd "$(dirname "$0")/.."
lines=$(grep -c '[^[:space:]]' src/logic.cpp)
widest=$(awk '{ if (length($0) > w) w = length($0) } END { print w }' src/logic.cpp)
echo "src/logic.cpp: $lines lines, widest $widest columns"
[ "$lines" -le 1040 ] && [ "$widest" -le 110 ]
head -n 3 src/logic.cpp | grep -q 'logic\.hpp'
if grep -nE '#include <(iostream|fstream|cstdio|unistd\.h|sys/|thread|ev\.h)|#include "(app|core|net|http|log|config|wire)/' \
    src/logic.cpp src/logic.hpp; then
  echo "the module does no I/O" >&2
  exit 1
fi
