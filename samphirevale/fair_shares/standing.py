"""Decides how much of the allowed queueing time an account may use.

The load that this answers: a service of which more is asked than it can do,
while some accounts ask for much more than others. Those above their max-min
fair share are refused first. Without queues nobody is, and while all can be
served all stand alike.
"""

from collections.abc import Mapping

from samphirevale.fair_shares import max_min

# The share of what a service can do in full calls that is divided. Calls are
# not always full.
DIVIDED_SHARE = 0.8

# The standing of an account within its share.
FULL_STANDING = 1.0


def compute_standing(
    demands: Mapping[str, float], account: str, capacity: float, least: float
) -> float:
    """Returns the part of the allowed queueing time that an account may use.

    Args:
        demands: what each account asks of the service.
        account: the account.
        capacity: what the service can do in full calls, in the same unit.
        least: the standing of an account that is far above its share. With a
            low one its requests are refused while there is hardly a queue.
    """
    demand = demands.get(account, 0.0)
    level = max_min.compute_level(demands, capacity * DIVIDED_SHARE)
    if demand <= level:
        return FULL_STANDING
    return max(level / demand, least)
