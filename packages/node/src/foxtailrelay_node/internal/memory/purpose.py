"""What bytes of others are held for."""

import enum


class Purpose(enum.Enum):
    """What bytes of others are held for; each has a part of the budget.

    A value is the label of the purpose in metrics and logs.
    """

    REQUEST = 'requests'
    ANSWER = 'answers'
    PLATFORM = 'platform'
    PEER = 'peers'
