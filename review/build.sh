#!/bin/sh
# Builds the stand-ins of the review's scripts. They are Python modules that
# need the standard library only, so they are compiled and nothing else.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
