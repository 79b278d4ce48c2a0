#!/usr/bin/env bash
# Installs everything that building, checking and running pearhaven needs, from Debian's packages.
set -euo pipefail

packages=(
  curl g++ cmake ninja-build ccache clang-format clang-tidy pkg-config
  libcivetweb-dev libcurl4-openssl-dev libflatbuffers-dev libboost-dev libgflags-dev libspdlog-dev
  libcpputest-dev nlohmann-json3-dev libyaml-cpp-dev libxxhash-dev libzstd-dev librapidcheck-dev libsodium-dev libhttp-parser-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
