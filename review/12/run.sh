#!/bin/sh
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 -B review/12/case.py
