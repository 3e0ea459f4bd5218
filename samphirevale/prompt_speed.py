"""Learns how long model engines take from a request to its first event.

The time is modelled as a fixed part plus a part for each prompt token that the
engine has to read before, which includes the prompts of requests ahead. Both
are fitted to the observed times, and older observations lose weight, so that
the effect of an overload is forgotten.
"""

# The estimate before any observation: the time until the first event without
# the prompt, and the time for each prompt token, in seconds.
INITIAL_FIXED_SECONDS = 0.05
INITIAL_TOKEN_SECONDS = 1e-5

# The initial estimate counts as two observations of this weight each, of an
# empty prompt and of one of INITIAL_TOKENS.
INITIAL_WEIGHT = 5.0
INITIAL_TOKENS = 10_000

# The factor on the weight of all earlier observations at each new one.
DECAY = 0.98

# The bounds of the time for each prompt token, in seconds.
TOKEN_SECONDS_BOUNDS = (1e-7, 1e-3)

# An observation is clipped to this multiple of the estimate. A request may have
# waited for a reason other than prompts.
CLIP_FACTOR = 3.0


class PromptSpeed:
    """A line fitted to the observed times by weighted least squares."""

    def __init__(self):
        self._weight = 0.0
        self._tokens = 0.0
        self._seconds = 0.0
        self._tokens_squared = 0.0
        self._product = 0.0
        self._fixed_seconds = INITIAL_FIXED_SECONDS
        self._token_seconds = INITIAL_TOKEN_SECONDS
        for tokens in (0, INITIAL_TOKENS):
            self._add(tokens, self.estimate_first_event(tokens), INITIAL_WEIGHT)

    def estimate_reading(self, tokens: float) -> float:
        """Returns the time to read prompt tokens, in seconds."""
        return tokens * self._token_seconds

    def estimate_first_event(self, tokens: float) -> float:
        """Returns the time to the first event of a prompt, in seconds."""
        return self._fixed_seconds + self.estimate_reading(tokens)

    def record(self, tokens: float, seconds: float) -> None:
        """Records a first event.

        Args:
            tokens: the tokens of the prompt and of prompts that the engine had
                not read yet when the request was sent.
            seconds: the time from the request to the event.
        """
        limit = CLIP_FACTOR * self.estimate_first_event(tokens)
        self._add(tokens, min(seconds, limit), 1.0)
        self._fit()

    def _add(self, tokens: float, seconds: float, weight: float) -> None:
        self._weight = self._weight * DECAY + weight
        self._tokens = self._tokens * DECAY + weight * tokens
        self._seconds = self._seconds * DECAY + weight * seconds
        self._tokens_squared = (
            self._tokens_squared * DECAY + weight * tokens * tokens
        )
        self._product = self._product * DECAY + weight * tokens * seconds

    def _fit(self) -> None:
        mean_tokens = self._tokens / self._weight
        mean_seconds = self._seconds / self._weight
        variance = self._tokens_squared / self._weight - mean_tokens**2
        covariance = self._product / self._weight - mean_tokens * mean_seconds
        low, high = TOKEN_SECONDS_BOUNDS
        # If all prompts have the same length, the line is not determined.
        if variance > 1.0:
            self._token_seconds = min(max(covariance / variance, low), high)
        self._fixed_seconds = max(
            mean_seconds - self._token_seconds * mean_tokens, 0.0
        )
