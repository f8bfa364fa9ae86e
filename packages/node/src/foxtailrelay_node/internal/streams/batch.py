"""The content of one log record: a batch of our records, or a snapshot."""

import json
import typing


class Batch(typing.NamedTuple):
    """What one append carries.

    Parameters
    ----------
    batch_id : str
        Unique; an append whose answer was lost is found again by it.
    records : tuple of dict
        Our records, in order.  Empty in a snapshot.
    snapshot : dict or None
        Whole state after all records before ``covers``.
    covers : int
        Offset of the first record that the snapshot does not include.
    """

    batch_id: str
    records: tuple[dict[str, typing.Any], ...] = ()
    snapshot: dict[str, typing.Any] | None = None
    covers: int = 0

    def to_bytes(self) -> bytes:
        """Encode as JSON."""
        return json.dumps(self._asdict(), separators=(',', ':')).encode()

    @classmethod
    def from_bytes(cls, data: bytes) -> 'Batch | None':
        """Decode; None for a log record that is not ours."""
        try:
            fields = json.loads(data)
            return cls(
                fields['batch_id'],
                tuple(fields['records']),
                fields['snapshot'],
                fields['covers'],
            )
        except (ValueError, KeyError, TypeError):
            return None
