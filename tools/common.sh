# Shared by the scripts of this folder; source it.

set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

PACKAGES=(
  g++ cmake ninja-build ccache pkg-config git
  clang-format-14 clang-tidy-14
  libevent-dev libsigc++-3.0-dev libthrift-dev libboost-dev libspdlog-dev
  libfmt-dev libexpected-dev librapidcheck-dev nlohmann-json3-dev
  libgtest-dev libbenchmark-dev libxxhash-dev libsodium-dev curl
)

say() { printf '== %s\n' "$*"; }

install_packages() {
  local missing=()
  local name
  for name in "${PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$name" 2>/dev/null |
      grep -q 'install ok installed' || missing+=("$name")
  done
  [ ${#missing[@]} -eq 0 ] && return 0
  say "installing: ${missing[*]}"
  local sudo=()
  [ "$(id -u)" -eq 0 ] || sudo=(sudo)
  "${sudo[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
}

# build FOLDER CMAKE_ARGUMENT...
build() {
  local folder=$1
  shift
  say "building into $folder/"
  cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
  cmake --build "$folder"
}

# All C++ files of ours: not the generated ones.
source_files() {
  git ls-files --cached --others --exclude-standard '*.h' '*.cpp' |
    grep -v '/gen-cpp/'
}
