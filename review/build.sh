#!/bin/sh
# Builds the stand-ins of the scripts: standin.py and the play.py of each
# case. They need the standard library only, so this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q -f standin.py [1-5]/
