"""Parts by which many hosts act as one; each is a library of its own."""
