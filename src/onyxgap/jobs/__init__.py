"""Jobs of callers: what they ask for, where they run, and how they end."""
