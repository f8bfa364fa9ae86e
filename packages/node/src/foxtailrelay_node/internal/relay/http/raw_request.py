"""A request of a caller."""

import typing


class RawRequest(typing.NamedTuple):
    """A request as received.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line.
    headers : list of pairs of bytes
        Lower-case names, and values.
    body : bytes
        The complete body.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def count_head_bytes(self) -> int:
        """Return the bytes of the request line's parts and the headers."""
        return (
            len(self.method)
            + len(self.target)
            + sum(len(name) + len(value) for name, value in self.headers)
        )
