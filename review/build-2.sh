#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the scripts of the second review into
# review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for main in [0-9]*/src/*.cpp; do
  name=$(basename "$main" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$name" \
    "$main" common-2/*.cpp
done
