#!/usr/bin/env bash
# Defines install_packages, which installs the Debian packages that the build needs and that are missing. Sourced by the other
# scripts.
parsley_packages=(libevent-dev libevhtp-dev libcereal-dev libabsl-dev libspdlog-dev libboost1.81-dev libboost-test1.81-dev
    libinih-dev nlohmann-json3-dev libxxhash-dev libssl-dev libzstd-dev librapidcheck-dev python3-jinja2 ninja-build ccache cmake g++
    pkg-config curl python3 clang-format clang-tidy clang libclang-rt-14-dev)

install_packages() {
    local missing=()
    for package in "${parsley_packages[@]}"; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done
    command -v npm >/dev/null || missing+=(nodejs npm)
    if [ ${#missing[@]} -eq 0 ]; then
        return
    fi
    echo "installing: ${missing[*]}"
    local as_root=()
    [ "$(id -u)" -eq 0 ] || as_root=(sudo)
    "${as_root[@]}" apt-get update -qq
    "${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}
