"""A soak: real programs as separate processes, with random faults that come from outside them."""
