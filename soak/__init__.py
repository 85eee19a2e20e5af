"""Runs whole fleets of real processes under faults and judges them by what servers saw."""
