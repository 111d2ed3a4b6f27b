"""Real entry processes under faults, with independent counting at the stand-ins."""
