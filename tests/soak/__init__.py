"""Randomized soak test: real daemons, injected faults, checked invariants."""
