#!/usr/bin/env bash
# Two tenants hand in jobs under the same ID: one is accepted and never runs, the other is cancelled by a stranger.
exec "$(dirname "$0")/../../run-case-3.sh" same-id "$(dirname "$0")"
