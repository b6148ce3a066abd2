#!/usr/bin/env bash
# A small job of a queue with advice never starts while large jobs of the queue wait for whole runners.
exec "$(dirname "$0")/../run-case-3.sh" advice "$(dirname "$0")"
