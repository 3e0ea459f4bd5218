"""Rate limits."""


class TokenBucket:
    """Lets `rate` units a second pass, and a burst of `capacity` units."""

    def __init__(self, rate: float, capacity: float, now: float):
        self._rate = rate
        self._capacity = capacity
        self._level = capacity
        self._filled_at = now

    def take(self, amount: float, now: float) -> float:
        """Takes the amount if it is there.

        Returns:
            0.0 if it was taken, else how many seconds until it will be there.
        """
        filled = self._level + (now - self._filled_at) * self._rate
        self._level = min(self._capacity, filled)
        self._filled_at = now
        if self._level >= amount:
            self._level -= amount
            return 0.0
        return (amount - self._level) / self._rate
