"""Request path of an entry: identification, claims, slots, attempts and retries."""
