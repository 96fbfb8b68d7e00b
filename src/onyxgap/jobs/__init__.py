"""Jobs: admission, scheduling, shard ownership, workers and stored state."""
