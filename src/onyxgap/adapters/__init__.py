"""Input and output: HTTP, peer connections and the platform."""
