"""The names of the platform's HTTP headers, translated only in this package."""

ID = "x-azureswitch-attempt-id"
"""The caller's id of one attempt."""

MILLISECONDS_LEFT = "x-azureswitch-time-remaining"

EXPECTED_TARGET = "x-azureswitch-target-instance"

CUSTOMER = "x-azureswitch-tenant"

MODEL = "x-azureswitch-model"

TOKENS = "x-azureswitch-token-counts"
"""Prompt tokens and maximum output tokens, separated by a comma."""

PROMPT_PARTS = "x-azureswitch-prompt-prefix"
"""The parts of the prompt in order, as ``ID:TOKENS`` separated by commas, the id in hexadecimal."""

URGENCY = "x-azureswitch-urgency-class"

EXPECTED_WEIGHTS = "x-azureswitch-expected-version"

HELPERS = "x-azureswitch-helpers"

SEAL = "x-azureswitch-response-seal"
"""Set by a target's program on the responses that it produced itself."""

NOT_RUN = "x-azureswitch-not-executed"

AT_FAULT = "at-server"
"""Address of the helper engine that failed."""

LEAVING = "server-leaving"
"""`TRUE` if the responding target is about to leave."""

TRUE = "1"

LIMIT = "server-limit"
"""Requests a second that an overloaded target accepts from all hosts together, in decimal."""

STORE_ERA = "store-era"
"""Number of times that the store was restored from a backup."""

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
"""Headers that this system sets on requests to targets; the caller's values are dropped."""
