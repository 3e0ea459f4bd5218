"""Decides how much of the allowed queueing time an account may use.

The load that this answers: a service whose queues grow while some accounts ask
for much more than others. Those above their max-min fair share are refused
first; without queues nobody is.
"""

from collections.abc import Mapping

from samphirevale.fair_shares import max_min

# The share of what is used now that is divided. What the largest accounts use
# beyond it is above their share.
DIVIDED_SHARE = 0.8

# The standing of an account that is far above its share. It is not lower, as
# its requests could else be refused while there is hardly a queue.
LEAST_STANDING = 0.5

# The standing of an account within its share.
FULL_STANDING = 1.0


def compute_standing(
    usage: Mapping[str, float], account: str, capacity: float
) -> float:
    """Returns the part of the allowed queueing time that an account may use.

    Args:
        usage: what each account uses of the service.
        account: the account.
        capacity: what the service can do in full calls, in the same unit. It
            may do less.
    """
    used = usage.get(account, 0.0)
    total = sum(usage.values())
    level = max_min.compute_level(usage, min(capacity, total * DIVIDED_SHARE))
    if used <= level:
        return FULL_STANDING
    return max(level / used, LEAST_STANDING)
