"""Evacuated failure domains: which there are, and what still runs there.

`_apply` works on the serving state, which contains these types, and is imported by its own name.
"""

from azureswitch.serving.evacuation._model import (
    EvacuatedPlace,
    EvacuationChange,
    EvacuationPhase,
    Evacuations,
)

__all__ = ["EvacuatedPlace", "EvacuationChange", "EvacuationPhase", "Evacuations"]
