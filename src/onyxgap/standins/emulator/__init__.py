"""The users' platform in memory and in virtual time, for tests and experiments."""
