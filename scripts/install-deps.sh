#!/usr/bin/env bash
# Installs the Debian packages that building, testing and linting need.
# Does nothing where all of them are installed already.
set -euo pipefail

PACKAGES=(
    build-essential cmake ninja-build pkg-config
    clang clang-format clang-tidy libclang-rt-14-dev
    libevent-dev libprotobuf-c-dev protobuf-c-compiler libglib2.0-dev
    libcyaml-dev libjansson-dev libxxhash-dev libsodium-dev libcmocka-dev
    libhttp-parser-dev zlib1g-dev
    curl jq gnuplot-nox
)

missing=()
for package in "${PACKAGES[@]}"; do
    status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
    [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${missing[@]}" >/dev/null
