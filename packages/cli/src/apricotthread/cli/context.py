"""The context of one run: streams, operator and node addresses."""

import dataclasses
import getpass
import os
import sys
import typing
import uuid

NODES_VARIABLE = 'APRICOTTHREAD_NODES'
DEFAULT_NODES = '127.0.0.1:7003'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """Streams, the operator's name and the addresses of nodes.

    `default_nodes` holds operator ports, IP:PORT, separated by commas;
    they are tried in turn.
    """

    stdin: typing.TextIO
    stdout: typing.TextIO
    stderr: typing.TextIO
    operator: str
    default_nodes: str
    in_force_timeout_s: float = 6.0
    debug: bool = False

    def make_command_id(self) -> str:
        """Return a new random id for a command."""
        return uuid.uuid4().hex[:16]

    def print(self, text: str) -> None:
        """Print a line to standard output."""
        print(text, file=self.stdout)

    def print_error(self, text: str) -> None:
        """Print a line to standard error."""
        print(text, file=self.stderr)


def make_context() -> Context:
    """Return the context of this process, from its environment."""
    return Context(
        stdin=sys.stdin,
        stdout=sys.stdout,
        stderr=sys.stderr,
        operator=os.environ.get('APRICOTTHREAD_OPERATOR') or getpass.getuser(),
        default_nodes=os.environ.get(NODES_VARIABLE, DEFAULT_NODES),
        debug='--debug' in sys.argv,
    )
