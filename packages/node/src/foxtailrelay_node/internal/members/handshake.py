"""Mutual authentication of the two ends of a peer connection."""

import hmac
import secrets

from foxtailrelay_core import messages
import trio

_NONCE_BYTES = 16
_TIMEOUT_S = 2.0


class HandshakeError(Exception):
    """The handshake was refused, timed out or broke the protocol."""


class Handshake:
    """Authenticates peers by the cluster's name and shared secret.

    Parameters
    ----------
    cluster : str
        Name of the cluster.
    secret : str
        Shared by all nodes.
    node_id : str
        Name of this node.
    """

    def __init__(self, cluster: str, secret: str, node_id: str) -> None:
        self._cluster = cluster
        self._secret = secret.encode()
        self._node_id = node_id

    async def dial(
        self, frames: messages.FrameStream, expected_node_id: str
    ) -> None:
        """Authenticate to the accepting end and verify its proof.

        Raises
        ------
        HandshakeError
            If either side refuses or the handshake times out.
        """
        with trio.move_on_after(_TIMEOUT_S):
            _, challenge = await frames.receive()
            if not isinstance(challenge, messages.Challenge):
                raise HandshakeError('expected a challenge')
            nonce = secrets.token_bytes(_NONCE_BYTES)
            proof = self._build_proof('dial', challenge.nonce, self._node_id)
            hello = messages.Hello(
                messages.PROTOCOL_VERSION,
                self._cluster,
                self._node_id,
                nonce,
                proof,
            )
            await frames.send(0, hello)
            _, answer = await frames.receive()
            if isinstance(answer, messages.Refusal):
                raise HandshakeError(answer.reason)
            if not isinstance(answer, messages.Welcome):
                raise HandshakeError('expected a welcome')
            if answer.node_id != expected_node_id:
                raise HandshakeError(f'reached another node: {answer.node_id}')
            expected_proof = self._build_proof('accept', nonce, answer.node_id)
            if not hmac.compare_digest(expected_proof, answer.proof):
                raise HandshakeError('wrong secret at the other end')
            return
        raise HandshakeError('handshake timed out')

    async def accept(self, frames: messages.FrameStream) -> str:
        """Authenticate the dialling end and return its node id.

        Raises
        ------
        HandshakeError
            If the dialling end is refused or the handshake times out.
        """
        with trio.move_on_after(_TIMEOUT_S):
            nonce = secrets.token_bytes(_NONCE_BYTES)
            await frames.send(0, messages.Challenge(nonce))
            _, hello = await frames.receive()
            reason = self._refusal_reason(hello, nonce)
            if reason:
                await frames.send(0, messages.Refusal(reason))
                raise HandshakeError(reason)
            proof = self._build_proof('accept', hello.nonce, self._node_id)
            await frames.send(0, messages.Welcome(self._node_id, proof))
            return hello.node_id
        raise HandshakeError('handshake timed out')

    def _refusal_reason(self, hello: messages.Message, nonce: bytes) -> str:
        """Return why a hello is refused; empty if it is accepted."""
        if not isinstance(hello, messages.Hello):
            return 'expected a hello'
        if hello.protocol_version != messages.PROTOCOL_VERSION:
            return (
                f'protocol version {hello.protocol_version}, '
                f'expected {messages.PROTOCOL_VERSION}'
            )
        if hello.cluster != self._cluster:
            return 'another cluster'
        expected_proof = self._build_proof('dial', nonce, hello.node_id)
        if not hmac.compare_digest(expected_proof, hello.proof):
            return 'wrong cluster secret'
        return ''

    def _build_proof(self, role: str, nonce: bytes, node_id: str) -> bytes:
        text = f'{role}/{self._cluster}/{node_id}/'.encode()
        return hmac.digest(self._secret, text + nonce, 'sha256')
