"""The time at which the process ends after the order to stop."""

import math


class ProcessEnd:
    """The end of the process, by which its requests must be answered.

    Attributes:
        at: the time of the end; infinite before the order to stop.
    """

    def __init__(self):
        self.at = math.inf
