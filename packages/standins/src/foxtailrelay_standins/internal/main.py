"""Command line of the stand-ins."""

import dataclasses
import functools
import typing

import cappa
from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import trio

from foxtailrelay_standins.internal import backend_app
from foxtailrelay_standins.internal import backend_model
from foxtailrelay_standins.internal import cloud_app
from foxtailrelay_standins.internal import cloud_model
from foxtailrelay_standins.internal import engine_app
from foxtailrelay_standins.internal import engine_model
from foxtailrelay_standins.internal import engine_profile
from foxtailrelay_standins.internal import log_app
from foxtailrelay_standins.internal import log_store

_HOST = '127.0.0.1'
_LONG_OPTION = cappa.Arg(long=True)


async def _serve(app, port: int) -> None:
    """Serve an application on loopback until the process ends."""
    config = hypercorn_config.Config()
    config.bind = [f'{_HOST}:{port}']
    config.loglevel = 'WARNING'
    await hypercorn_trio.serve(app, config, mode='asgi')


@cappa.command(name='log')
@dataclasses.dataclass
class LogCommand:
    """Serve the log service stand-in."""

    port: typing.Annotated[int, _LONG_OPTION]

    async def run(self) -> None:
        """Serve until the process ends."""
        app = log_app.LogApp(log_store.LogStore()).build()
        await _serve(app, self.port)


@cappa.command(name='cloud')
@dataclasses.dataclass
class CloudCommand:
    """Serve the cloud API stand-in."""

    port: typing.Annotated[int, _LONG_OPTION]
    vm: typing.Annotated[
        list[str],
        cappa.Arg(long=True, help='Initial VM: id,zone,class,price'),
    ] = dataclasses.field(default_factory=list)

    async def run(self) -> None:
        """Serve until the process ends."""
        model = cloud_model.CloudModel()
        for text in self.vm:
            vm_id, zone, vm_class, price = text.split(',')
            model.add_vm(
                cloud_model.VmRecord(
                    id=vm_id,
                    zone=zone,
                    vm_class=vm_class,
                    price=float(price),
                    state='live',
                )
            )
        await _serve(cloud_app.CloudApp(model).build(), self.port)


@cappa.command(name='engine')
@dataclasses.dataclass
class EngineCommand:
    """Serve a model engine stand-in."""

    name: typing.Annotated[str, _LONG_OPTION]
    port: typing.Annotated[int, _LONG_OPTION]
    prefill_tokens_per_s: typing.Annotated[float, _LONG_OPTION] = 8000.0
    token_interval_s: typing.Annotated[float, _LONG_OPTION] = 0.02
    slots: typing.Annotated[int, _LONG_OPTION] = 64
    ignores_fencing: typing.Annotated[bool, _LONG_OPTION] = False

    async def run(self) -> None:
        """Serve until the process ends."""
        profile = engine_profile.EngineProfile(
            name=self.name,
            prefill_tokens_per_s=self.prefill_tokens_per_s,
            token_interval_s=self.token_interval_s,
            slots=self.slots,
            checks_fencing=not self.ignores_fencing,
        )
        model = engine_model.EngineModel(profile)
        async with trio.open_nursery() as nursery:
            await nursery.start(model.run)
            await _serve(engine_app.EngineApp(model).build(), self.port)
            nursery.cancel_scope.cancel()


@cappa.command(name='backend')
@dataclasses.dataclass
class BackendCommand:
    """Serve a plain backend server stand-in."""

    name: typing.Annotated[str, _LONG_OPTION]
    port: typing.Annotated[int, _LONG_OPTION]
    latency_s: typing.Annotated[float, _LONG_OPTION] = 0.01

    async def run(self) -> None:
        """Serve until the process ends."""
        model = backend_model.BackendModel(self.name, self.latency_s)
        await _serve(backend_app.BackendApp(model).build(), self.port)


@cappa.command(name='foxtailrelay_standins')
@dataclasses.dataclass
class StandinsCommand:
    """Run one stand-in of the platform on loopback."""

    command: cappa.Subcommands[
        LogCommand | CloudCommand | EngineCommand | BackendCommand
    ]


def main() -> None:
    """Run the command line."""
    parsed = cappa.parse(StandinsCommand)
    trio.run(functools.partial(parsed.command.run))
