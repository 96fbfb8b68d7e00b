"""Journal, replicated state and membership shared by all processes."""
