"""Worked out from measured slopes: what each role costs in two years' time.

``python -m bench.capacity`` measures everything, writes ``build/capacity.json`` and plots to
``docs/capacity``, and prints the totals.  Named parts alone are measured again by
``python -m bench.capacity PART...``; the figures of the others are kept.
"""
