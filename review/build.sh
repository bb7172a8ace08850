#!/bin/sh
# The stand-ins are Python programs of the standard library: there is nothing to compile.
cd "$(dirname "$0")" && python3 -m py_compile standins/platform_bed.py && rm -rf standins/__pycache__
