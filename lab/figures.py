"""The register of the measurements of `make slopes`, and what they share.

Each gives points of one or more figures. Processor time is of the measured
process alone, so that a busy machine changes it little.
"""

import math
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio

from lab import fits, partners, processes

# Real processes that are measured side by side.
REPEATS = 2

# How long a change settles before a window begins, in seconds.
SETTLE_SECONDS = 1.5

# How long a window lasts, in seconds.
WINDOW_SECONDS = 2.5

# The longest wait for what should happen at once, in seconds.
WAIT_SECONDS = 20.0

# The interval between looks at what is waited for, in seconds.
POLL_SECONDS = 0.005

# The time between two tokens of one answer, in seconds.
TOKEN_SECONDS = 0.038

# Bytes of a kilobyte, as in the page.
KB = 1000

Points = dict[str, list[fits.Point]]
Measure = Callable[[], Awaitable[Points]]


class Figure(NamedTuple):
    """One line to be fitted.

    Attributes:
        name: the figure's name.
        unit: of the slope.
        per: what one step of `x` is.
    """

    name: str
    unit: str
    per: str


class Measurement(NamedTuple):
    """A registered measurement and the figures that it gives."""

    measure: Measure
    figures: tuple[Figure, ...]


MEASUREMENTS: dict[str, Measurement] = {}


def register(*figures: Figure) -> Callable[[Measure], Measure]:
    """Adds a measurement under its function's name, without the verb."""

    def add(measure: Measure) -> Measure:
        name = measure.__name__.removeprefix("measure_")
        MEASUREMENTS[name] = Measurement(measure, figures)
        return measure

    return add


class Recorder:
    """Collects the points of a measurement."""

    def __init__(self):
        self.points: Points = {}

    def add(self, name: str, x: float, y: float) -> None:
        """Adds a point of a figure."""
        self.points.setdefault(name, []).append(fits.Point(x, y))


class Watched(NamedTuple):
    """A real process and what crosses its connections."""

    process: processes.Process
    traffic: partners.Traffic


async def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Waits for a condition.

    Raises:
        processes.ProcessError: the time is up.
    """
    give_up_at = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > give_up_at:
            raise processes.ProcessError(f"waited in vain for {what}")
        await curio.sleep(POLL_SECONDS)


def plan_tokens(frames: int, size: int, pause: float) -> dict:
    """Returns the input that makes a fake engine answer so."""
    return {"frames": frames, "size": size, "pause": pause}


def summarize(name: str) -> dict[str, fits.Fit]:
    """Runs one measurement and returns the fits by figure.

    Raises:
        processes.ProcessError: a process did not do as it should.
    """
    measurement = MEASUREMENTS[name]
    points = curio.run(measurement.measure)
    return {
        figure.name: fits.fit_line(points[figure.name])
        for figure in measurement.figures
    }


def format_number(value: float) -> str:
    """Returns a number with three significant digits."""
    if not value:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:,.{min(digits, 5)}f}"
