#!/bin/sh
# Compiles the stand-ins that the scripts start: those of review/rig, and the
# project's own store and client with the encoders that they use.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review \
    siskinbank/__init__.py siskinbank/lab/__init__.py siskinbank/lab/rig \
    siskinbank/platform
