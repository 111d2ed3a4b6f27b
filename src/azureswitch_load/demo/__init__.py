"""A whole deployment in one process, its faults, and the check that its promises hold."""
