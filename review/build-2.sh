#!/usr/bin/env bash
# Checks, after the build of the deploy file, that the stand-ins of cases 6 to 10 can
# start: they are Python programs and need only the libraries of that build.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -B - <<'PYTHON'
import review.standins_2
import tests.fakes.loopback
import tests.fakes.platform

print('the stand-ins of the review can start')
PYTHON
