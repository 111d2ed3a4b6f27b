"""What is shared by all who decode bytes that others wrote."""

UNDECODED = (ValueError, RecursionError)
"""What msgspec's decoders raise; the latter for what is nested more than some 1,000 deep."""
