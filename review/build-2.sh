#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: all are Python files of this folder that
# need the standard library only, so that checking and compiling them is all.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version' || exit 1
test -d target/deps || { echo "run the line build of deploy/system.toml first"; exit 1; }
python3 -m compileall -q review/support-2 review/6 review/7 review/8 review/9 review/10
