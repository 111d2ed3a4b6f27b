"""Small specifications of the core protocols, and the checks that they hold."""
