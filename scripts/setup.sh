#!/usr/bin/env bash
# Installs the missing Debian packages that are needed to build and test.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config
  libboost1.81-dev libgrpc++-dev libprotobuf-dev libgflags-dev
  nlohmann-json3-dev libvalijson-dev libxxhash-dev zlib1g-dev libssl-dev tao-pegtl-dev doctest-dev
  clang-format clang-tidy curl
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
    "${missing[@]}" >/dev/null
fi
