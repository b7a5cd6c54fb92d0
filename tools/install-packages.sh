#!/bin/sh
# Installs the Debian packages required for building and testing.
set -eu
packages='build-essential cmake pkg-config clang clang-format clang-tidy libclang-rt-14-dev
libuv1-dev libh2o-dev libzmq3-dev libjson-c-dev libmsgpack-dev liblog4c-dev libglib2.0-dev
libcunit1-dev libxxhash-dev libgsl-dev libcurl4-openssl-dev libssl-dev liblua5.4-dev spin
gnuplot-nox valgrind'
missing=''
for package in $packages; do
  dpkg -s "$package" > /dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing > /dev/null
