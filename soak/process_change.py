"""How the process of a backend server is replaced by another one."""

import typing

from standin import engine


class ProcessChange(typing.NamedTuple):
    """The next process at the address of one that ends.

    Parameters
    ----------
    service, version : str
        Service and software version of the next process.
    keeps_id : bool
        Whether the next process has the id of the one before.
    with_reset : bool
        Whether connections end with a reset.
    gap_s : float
        Time in which nothing accepts connections.
    listed_after_s : float
        Time from the start to the entry in the server list.
    form : AnswerForm
        How the answers of the next process are framed.
    close_s : float
        Time in which the process ends its connections one after another,
        while it accepts and reports.
    stays_connected : bool
        Whether connections seem open when the process has ended: its proxy
        is silent, and goes on to the next process when it no longer is.
    """

    service: str
    version: str
    keeps_id: bool
    with_reset: bool
    gap_s: float
    listed_after_s: float
    form: engine.AnswerForm
    close_s: float = 0.0
    stays_connected: bool = False

    def describe(self) -> str:
        """Return the change for the history of faults."""
        return (
            f'{self.service} {self.version}, '
            f'{"same" if self.keeps_id else "new"} id, '
            f'{"reset" if self.with_reset else "closed"} '
            f'within {self.close_s:.2f} s, '
            f'after {self.gap_s:.2f} s, listed {self.listed_after_s:.1f} s '
            f'later, answers {self.form.value}'
        )
