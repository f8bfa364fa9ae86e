"""Loopback networks, one for each seed that runs."""

import socket

STAND_IN_HOST_NUMBER = 250
_RESERVATION_PORT = 8079
_FIRST_NETWORK_NUMBER = 20
_NETWORK_COUNT = 200


def reserve_network(seed: int) -> tuple[str, socket.socket]:
    """Reserve a loopback network that no other run uses.

    Returns
    -------
    tuple of str and socket.socket
        The first three numbers of the addresses, and a bound socket that
        reserves the network until it is closed.
    """
    for step in range(_NETWORK_COUNT):
        network = (
            f'127.{_FIRST_NETWORK_NUMBER + (seed + step) % _NETWORK_COUNT}.0'
        )
        reservation = socket.socket()
        try:
            reservation.bind(
                (
                    f'{network}.{STAND_IN_HOST_NUMBER}',
                    _RESERVATION_PORT,
                )
            )
        except OSError:
            reservation.close()
        else:
            return network, reservation
    raise RuntimeError('all loopback networks of the soak are in use')
