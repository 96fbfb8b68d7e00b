"""Plots of what ``make measure`` found, as SVG."""

import pathlib
import typing as t

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "onyxgap"

from matplotlib import pyplot  # noqa: E402 - the back end is chosen first

VERSIONS = ("naive", "onyxgap")
NO_DATE = {"Date": None}


def draw_plots(results: t.Mapping[str, t.Any], folder: pathlib.Path) -> None:
    """Draw urgent delay by script, and buffer against moves.

    :param results: measurements by example, script and version.
    :param folder: where the files go.
    """
    for example, scripts in results.items():
        _draw_delays(example, scripts, folder)
    _draw_buffer(results, folder)


def _draw_delays(
    example: str, scripts: t.Mapping[str, t.Any], folder: pathlib.Path
) -> None:
    figure, axes = pyplot.subplots(figsize=(9, 4), layout="constrained")
    places = range(len(scripts))
    for offset, version in enumerate(VERSIONS):
        heights = [row[version]["urgent_p99_ms"] for row in scripts.values()]
        axes.bar(
            [place + 0.4 * offset for place in places], heights, 0.4, label=version
        )
    axes.set_xticks([place + 0.2 for place in places], list(scripts), rotation=30)
    axes.set_yscale("log")
    axes.set_ylabel("urgent p99, ms")
    axes.set_title(example)
    axes.legend()
    figure.savefig(folder / f"urgent-{example}.svg", metadata=NO_DATE)
    pyplot.close(figure)


def _draw_buffer(results: t.Mapping[str, t.Any], folder: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(6, 4), layout="constrained")
    for example, scripts in results.items():
        for version in VERSIONS:
            moves = sum(row[version]["moves"] for row in scripts.values())
            buffer = max(row[version]["buffer_share"] for row in scripts.values())
            axes.plot(moves, buffer, "o", label=f"{example}, {version}")
    axes.set_xlabel("moves over all scripts")
    axes.set_ylabel("buffer, share of slots and VMs")
    axes.legend()
    figure.savefig(folder / "buffer-moves.svg", metadata=NO_DATE)
    pyplot.close(figure)
