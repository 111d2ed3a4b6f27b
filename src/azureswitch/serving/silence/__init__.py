"""Targets that are silent during an attempt, which may have failed or only have paused.

A sound target may be silent for a second or two and go on, and a further attempt may be refused or
fail.  Therefore a silent attempt is not cancelled: another one is started beside it, and the first
of them that sends output is kept.

The modules work on the serving state, and are imported by their own names.
"""
