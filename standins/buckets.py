"""A rate limiter."""


class TokenBucket:
    """Allows `rate` units per second and a burst of `capacity` units."""

    def __init__(self, rate: float, capacity: float, now: float):
        self._rate = rate
        self._capacity = capacity
        self._level = capacity
        self._filled_at = now

    def take(self, amount: float, now: float) -> float:
        """Takes the amount if it is available.

        Returns:
            0.0 if the amount was taken; otherwise the time until it will be
            available, in seconds.
        """
        filled = self._level + (now - self._filled_at) * self._rate
        self._level = min(self._capacity, filled)
        self._filled_at = now
        if self._level >= amount:
            self._level -= amount
            return 0.0
        return (amount - self._level) / self._rate
