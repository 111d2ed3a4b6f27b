"""The platform's header names, each decoded here and used nowhere outside this folder."""

ID = "x-azureswitch-attempt-id"
"""The caller's id of one try."""

MILLISECONDS_LEFT = "x-azureswitch-time-remaining"

EXPECTED_TARGET = "x-azureswitch-target-instance"

CUSTOMER = "x-azureswitch-tenant"

MODEL = "x-azureswitch-model"

TOKENS = "x-azureswitch-token-counts"
"""Tokens of the prompt and the most output tokens, with a comma between."""

URGENCY = "x-azureswitch-urgency-class"

EXPECTED_WEIGHTS = "x-azureswitch-expected-version"

HELPERS = "x-azureswitch-helpers"

SEAL = "x-azureswitch-response-seal"
"""The mark that a target's program puts on its own answers."""

NOT_RUN = "x-azureswitch-not-executed"

AT_FAULT = "at-server"
"""Address of the helping engine that failed."""

LEAVING = "server-leaving"
"""Whether the target that answers is about to leave, as `TRUE` where it is."""

TRUE = "1"

LIMIT = "server-limit"
"""The requests a second, as a decimal number, that a target in need takes from all hosts."""

STORE_ERA = "store-era"
"""How often the store has come back from a copy."""

LAST_EVENT = "last-event-id"

KEY = "authorization"

KEY_SCHEME = "bearer "

RETRY_AFTER = "retry-after"

SET_BY_US = frozenset(
    (
        MILLISECONDS_LEFT,
        EXPECTED_TARGET,
        CUSTOMER,
        URGENCY,
        HELPERS,
        LAST_EVENT,
        KEY,
    )
)
"""Headers that a target gets from this system whatever the caller sent."""
