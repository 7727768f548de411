#!/bin/sh
# Builds the stand-ins of the cases 11 to 13, which need no package: they are
# Python with the standard library alone. The programs are those of the deploy
# file's build.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib3.py review/11 review/12 review/13
