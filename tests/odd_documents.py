"""Valid documents of the platform, to be changed into odd ones by tests."""

import typing as t

from onyxgap.platform.http import Answer

RUN = ("5c0e7a21d94b36f8.0.1.17", 2, "", 41)
REPORT: t.Mapping[str, t.Any] = {
    "clock_ms": 1_000,
    "running": [RUN],
    "ended": [],
    "born": 1,
}
ROUTE: t.Mapping[str, t.Any] = {
    "name": "q",
    "host": "h",
    "path_prefix": "/",
    "service": "ring",
}
CONFIGURATION: t.Mapping[str, t.Any] = {
    "version": 2,
    "routes": [ROUTE],
    "services": [{"name": "ring"}],
}
WAVE: t.Mapping[str, t.Any] = {
    "wave": 3,
    "machines": ["m-1"],
    "duration_s": 20.0,
    "cap": 2,
}
VM: t.Mapping[str, t.Any] = {
    "machine": "m-1",
    "pool": "ring",
    "state": "up",
    "labels": ["a", "rack"],
}


class FixedAnswer:
    """HTTP client that always gives the same answer."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer

    async def call(self, *arguments: t.Any, **options: t.Any) -> Answer:
        return self.answer

    async def close(self) -> None:
        return None
