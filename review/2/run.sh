#!/usr/bin/env bash
# Plays the case; see claim.txt. With TROUBLE=0 without the disruption.
. "$(dirname "${BASH_SOURCE[0]}")/../play.sh"
play window
