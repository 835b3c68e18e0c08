#!/usr/bin/env bash
# Builds the stand-ins of all scripts into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for main in [0-9]/*.cpp; do
  name=$(basename "$main" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$name" "$main" common/*.cpp
done
