"""The record of a case: what was sent, answered and run."""

import time


class Record:
    """Writes lines of seconds, a word and fields; keeps them for the check."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.events = []

    def now(self):
        """Return the seconds since the beginning."""
        return time.monotonic() - self.began

    def write(self, word, **fields):
        """Write a line."""
        at = self.now()
        self.events.append((at, word, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:8.3f} {word} {text}\n")

    def close(self):
        """Write out what is left."""
        self.file.close()
