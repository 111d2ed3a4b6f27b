"""What all tests need before the first of them runs."""

from hypothesis import strategies as st

# On a fresh checkout the first text that is drawn has a table of all characters built, which takes
# seconds on a busy machine.  That is no part of drawing an example, which is watched for being slow.
st.text().validate()
