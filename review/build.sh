#!/bin/sh
# The stand-ins are Python without dependencies: compiling them finds syntax errors.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review
