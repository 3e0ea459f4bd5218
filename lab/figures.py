"""The registry and the common code of the measurements of `make slopes`.

Each measurement returns points of one or more figures. Processor time is
measured for the process alone, so that other load on the machine has little
influence.
"""

import math
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio

from lab import fake_peers, fits, processes

# The number of real processes measured side by side, or of repeats.
REPEATS = 2

# The time between a change and the start of a measurement, in seconds.
SETTLE_SECONDS = 1.5

# The duration of a measurement, in seconds.
WINDOW_SECONDS = 2.5

# The timeout of `wait_for`, in seconds.
WAIT_SECONDS = 20.0

# The interval at which `wait_for` polls its condition, in seconds.
POLL_SECONDS = 0.005

# The time between two tokens of one answer, in seconds.
TOKEN_SECONDS = 0.038

# The number of bytes in a kilobyte, as in docs/CAPACITY.md.
KB = 1000

Points = dict[str, list[fits.Point]]
Measure = Callable[[], Awaitable[Points]]


class Figure(NamedTuple):
    """A measured figure to which a line is fitted.

    Attributes:
        name: the figure's name.
        unit: the unit of `y`.
        per: the meaning of one unit of `x`.
    """

    name: str
    unit: str
    per: str


class Measurement(NamedTuple):
    """A registered measurement with its figures."""

    measure: Measure
    figures: tuple[Figure, ...]


MEASUREMENTS: dict[str, Measurement] = {}


def register(*figures: Figure) -> Callable[[Measure], Measure]:
    """Returns a decorator that registers a measurement.

    The measurement's name is that of the function without `measure_`.
    """

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
        """Adds a point to a figure."""
        self.points.setdefault(name, []).append(fits.Point(x, y))


class MeasuredProcess(NamedTuple):
    """A measured process and the traffic on its connections."""

    process: processes.Process
    traffic: fake_peers.Traffic


async def wait_for(condition: Callable[[], bool], what: str) -> None:
    """Waits until a condition holds.

    Raises:
        processes.ProcessError: the timeout expired.
    """
    give_up_at = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > give_up_at:
            raise processes.ProcessError(f"timed out waiting for {what}")
        await curio.sleep(POLL_SECONDS)


def plan_tokens(frames: int, size: int, pause: float) -> dict:
    """Returns the input that makes a fake engine send the given frames."""
    return {"frames": frames, "size": size, "pause": pause}


def run_measurement(name: str) -> dict[str, fits.Fit]:
    """Runs one measurement and returns the fits by figure.

    Raises:
        processes.ProcessError: a process did not behave as expected.
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
