#!/usr/bin/env bash
# A queue gives no waiting jobs although none of its accepted jobs has begun, after its only runner was lost.
exec "$(dirname "$0")/../run-case-3.sh" waiting "$(dirname "$0")"
