#!/bin/sh
# Puts the libraries and the project's packages into target/deps.
set -eu
stamp=target/.libraries
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ] ||
    [ constraints.txt -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check \
        --target target/deps -c constraints.txt -r deploy/requirements.txt
    touch "$stamp"
fi
rm -rf target/deps/apricotthread
mkdir -p target/deps/apricotthread
for package in packages/*/src/apricotthread platform/src/apricotthread; do
    cp -r "$package"/. target/deps/apricotthread/
done
rm -rf target/deps/apricotthread/fakes
python3 -m compileall -q target/deps/apricotthread
