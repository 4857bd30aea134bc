#!/bin/sh
# Checks that every stand-in of the scripts can be imported; all are Python.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." exec python3 -c 'import review.sites'
