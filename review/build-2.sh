#!/bin/sh
# Builds the stand-ins of the second review: Python without dependencies.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review/stand_ins_2
