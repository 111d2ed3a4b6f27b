"""Libraries for the coordination of many hosts; each can be used on its own."""
