"""Plots of the measured series with the line to the size to design for."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from bench.capacity._series import Series


def write_plots(found: list[Series], *, folder: Path) -> None:
    """Write one plot for each series of at least two points."""
    folder.mkdir(parents=True, exist_ok=True)
    matplotlib.rcParams["svg.hashsalt"] = "capacity"
    matplotlib.rcParams["svg.fonttype"] = "none"
    for item in found:
        if len(item.points) > 1:
            _write(item, folder / f"{item.name.replace('.', '-')}-by-{_slug(item.by)}.svg")


def _slug(text: str) -> str:
    return text.replace("/", "-per-")


def _write(item: Series, path: Path) -> None:
    figure, axes = pyplot.subplots(figsize=(5, 3))
    axes.plot([point.x for point in item.points], [point.y for point in item.points], "o")
    last = max(item.size, item.points[-1].x)
    axes.plot([0.0, last], [item.start, item.start + item.slope * last], "-", linewidth=0.8)
    axes.axvline(item.size, linestyle=":", linewidth=0.8)
    axes.set_ylim(bottom=0.0)
    axes.set_xlabel(item.by)
    axes.set_ylabel(item.unit)
    axes.set_title(item.name)
    figure.savefig(path, bbox_inches="tight", metadata={"Date": None})
    pyplot.close(figure)
