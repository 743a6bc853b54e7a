#!/usr/bin/env bash
# Runs the case of this folder, without the disruption if TROUBLE=0. Exit status: 0 held, 1 broken,
# 2 could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
TROUBLE=${TROUBLE-1} PYTHONPATH=../standins PYTHONDONTWRITEBYTECODE=1 exec timeout -k 2 119 python3 case.py
