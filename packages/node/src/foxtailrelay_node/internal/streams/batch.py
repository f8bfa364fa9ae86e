"""Content of one log record: a batch of records or a snapshot."""

import json
import typing


class Batch(typing.NamedTuple):
    """Content of one append.

    Parameters
    ----------
    batch_id : str
        Unique id; identifies an append whose answer was lost.
    records : tuple of dict
        Records in order; empty in a snapshot.
    snapshot : dict or None
        Complete state after all records before ``covers``.
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
        """Decode; None for a log record in another format."""
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
