"""Recent use of each organisation, compared with an equal share."""

import trio

_HALF_LIFE_S = 5.0
_MIN_ACTIVE_SHARE = 0.01


class FairShare:
    """Exponentially decaying token counts by organisation, on this node."""

    def __init__(self) -> None:
        self._tokens_by_organisation: dict[str, float] = {}
        self._decayed_at_s = 0.0

    def record_use(self, organisation: str, tokens: int) -> None:
        """Count an admitted request's prompt and answer tokens."""
        self._decay()
        used = self._tokens_by_organisation.get(organisation, 0.0)
        self._tokens_by_organisation[organisation] = used + tokens

    def exceeds_share(self, organisation: str) -> bool:
        """Return whether an organisation has used more than an equal share.

        Only organisations with a minimum share of the recent use are counted.
        """
        self._decay()
        total = sum(self._tokens_by_organisation.values())
        active = [
            used
            for used in self._tokens_by_organisation.values()
            if used >= total * _MIN_ACTIVE_SHARE
        ]
        own = self._tokens_by_organisation.get(organisation, 0.0)
        return own * max(1, len(active)) > total

    def _decay(self) -> None:
        now = trio.current_time()
        factor = 0.5 ** ((now - self._decayed_at_s) / _HALF_LIFE_S)
        self._decayed_at_s = now
        for organisation in self._tokens_by_organisation:
            self._tokens_by_organisation[organisation] *= factor
