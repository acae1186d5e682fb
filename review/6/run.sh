#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
python3 case.py
case $? in
    11) echo "the rule was broken"; exit 1 ;;
    10) echo "the rule held"; exit 0 ;;
    *) echo "the case could not run"; exit 2 ;;
esac
