"""Sizes and counts that bound what peers cost a host."""

CALL_LIMIT = 4 * 1024 * 1024
"""Bytes of an encoded message that a call takes at most, in either direction."""

CONNECTIONS = 32
"""Connections that are kept to other hosts at most, those in use excepted."""

IDLE_SECONDS = 30.0
"""Seconds after which a connection that carries no call is closed."""

PENDING_CALLS = 256
"""Calls from other hosts that are handled at once; further ones are refused."""

PENDING_CASTS = 1_024
"""Datagrams that are handled at once; further ones are dropped and counted."""

PORT_TRIES = 20
"""Ports that are tried where the system may choose one, until one is free in both protocols."""
