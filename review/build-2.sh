#!/bin/bash
# Builds the stand-ins that the scripts of review/4 and later start: compiles them, and the
# project's own stand-ins of the store, with the interpreter of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-2 review/[4-8] deploy/soak emulator notcharch
PYTHONPATH=target/deps:review/standins-2 python3 -c "import world"
