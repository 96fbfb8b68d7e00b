"""Checks of rules, from what the stand-ins of the workers saw."""


def find_twice(events):
    """Find starts after a run of the same subtask has ended done and was acked.

    Returns the time and the subtask of each such start.
    """
    done, found = set(), []
    for at, word, fields in events:
        if word == "acked" and fields["how"] == "done":
            done.add(fields["task"])
        elif word == "start" and fields["task"] in done:
            found.append((at, fields["task"]))
    return found
