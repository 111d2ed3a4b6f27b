"""Stand-ins for everything around azureswitch, as objects for tests and as programs."""
