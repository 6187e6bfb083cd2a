"""The commands of the command line, with their options and help texts."""

import collections.abc

from apricotthread.cli import context as contexts
from apricotthread.cli import core
from apricotthread.cli import status

Command = collections.abc.Callable[..., status.ExitStatus]


class Commands:
    """The commands, bound to the context of one run."""

    def __init__(self, *, context: contexts.Context) -> None:
        self._context = context

    def tree(self) -> dict[str, Command | list[Command]]:
        """Return the commands by name, with subcommands in nested dicts."""
        return {
            'table': {
                'show': self.table_show,
                'set': self.table_set,
                'delete': self.table_delete,
                'import': self.table_import,
                'diff': self.table_diff,
            },
            'data-centre': {
                'take-out': self.data_centre_take_out,
                'bring-back': self.data_centre_bring_back,
            },
            'voter': {
                'admit': self.voter_admit,
                'remove': self.voter_remove,
            },
            'status': self.show_status,
            'groups': self.show_groups,
            'audit': self.show_audit,
            'quarantine': {
                'show': self.quarantine_show,
                'release': self.quarantine_release,
            },
            'settings': {'check': self.settings_check},
            'explain': self.explain_request,
        }

    def _run(self, job) -> status.ExitStatus:
        return core.run_command(self._context, job)

    def table_show(
        self, *, nodes: str = '', json: bool = False, debug: bool = False
    ) -> status.ExitStatus:
        """Print the table as CSV; its version goes to standard error.

        Example: apricotthread table show > table.csv

        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param json: print JSON for programs
        :param debug: print tracebacks
        """
        return self._run(core.show_table(self._context, nodes, json))

    def table_set(
        self,
        row: str,
        *cells: str,
        nodes: str = '',
        command_id: str = '',
        base: int | None = None,
        dry_run: bool = False,
        debug: bool = False,
    ) -> status.ExitStatus:
        """Change cells of one row, or add the row.

        Examples: apricotthread table set account:acme limit=40 weight=2;
        apricotthread table set request:bidding/bid match='POST /bids*'
        repeatable=no

        :param row: service:NAME, account:NAME or request:SERVICE/NAME
        :param cells: COLUMN=VALUE, one for each cell
        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param command_id: the id of a change that is sent again
        :param base: the version that the change was based on
        :param dry_run: only show what would change
        :param debug: print tracebacks
        """
        options = core.ChangeOptions(
            command_id=command_id, base=base, dry_run=dry_run
        )
        return self._run(
            core.set_row(
                self._context, nodes, row, list(cells), options=options
            )
        )

    def table_delete(
        self,
        row: str,
        *,
        nodes: str = '',
        command_id: str = '',
        base: int | None = None,
        dry_run: bool = False,
        debug: bool = False,
    ) -> status.ExitStatus:
        """Delete one row.

        Example: apricotthread table delete account:acme --dry-run

        :param row: service:NAME, account:NAME or request:SERVICE/NAME
        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param command_id: the id of a change that is sent again
        :param base: the version that the change was based on
        :param dry_run: only show what would change
        :param debug: print tracebacks
        """
        options = core.ChangeOptions(
            command_id=command_id, base=base, dry_run=dry_run
        )
        return self._run(
            core.delete_row(self._context, nodes, row, options=options)
        )

    def table_import(
        self,
        file: str,
        *,
        nodes: str = '',
        command_id: str = '',
        base: int | None = None,
        dry_run: bool = False,
        debug: bool = False,
    ) -> status.ExitStatus:
        """Make the table equal to a CSV file, in one change.

        Example: apricotthread table import table.csv --dry-run

        :param file: a CSV file, or - for standard input
        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param command_id: the id of a change that is sent again
        :param base: the version that the change was based on
        :param dry_run: only show what would change
        :param debug: print tracebacks
        """
        options = core.ChangeOptions(
            command_id=command_id, base=base, dry_run=dry_run
        )
        return self._run(
            core.import_table(self._context, nodes, file, options=options)
        )

    def table_diff(
        self, file: str, *, nodes: str = '', debug: bool = False
    ) -> status.ExitStatus:
        """Print how a CSV file differs from the table in force.

        Example: apricotthread table diff table.csv

        :param file: a CSV file, or - for standard input
        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param debug: print tracebacks
        """
        return self._run(core.diff_table(self._context, nodes, file))

    def data_centre_take_out(
        self,
        name: str,
        *,
        nodes: str = '',
        command_id: str = '',
        base: int | None = None,
        force: bool = False,
        dry_run: bool = False,
        debug: bool = False,
    ) -> status.ExitStatus:
        """Stop new work to a data centre; work that has begun ends normally.

        Safe to send twice. Example: apricotthread data-centre take-out north

        :param name: the data centre
        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param command_id: the id of a command that is sent again
        :param base: the version that the command was based on
        :param force: take out even the last data centre that is in
        :param dry_run: only show what would change
        :param debug: print tracebacks
        """
        options = core.ChangeOptions(
            command_id=command_id, base=base, dry_run=dry_run
        )
        return self._run(
            core.mark_data_centre(
                self._context,
                nodes,
                name,
                out=True,
                force=force,
                options=options,
            )
        )

    def data_centre_bring_back(
        self,
        name: str,
        *,
        nodes: str = '',
        command_id: str = '',
        base: int | None = None,
        dry_run: bool = False,
        debug: bool = False,
    ) -> status.ExitStatus:
        """Let a data centre take new work again.

        Safe to send twice. Example: apricotthread data-centre bring-back
        north

        :param name: the data centre
        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param command_id: the id of a command that is sent again
        :param base: the version that the command was based on
        :param dry_run: only show what would change
        :param debug: print tracebacks
        """
        options = core.ChangeOptions(
            command_id=command_id, base=base, dry_run=dry_run
        )
        return self._run(
            core.mark_data_centre(
                self._context,
                nodes,
                name,
                out=False,
                force=False,
                options=options,
            )
        )

    def voter_admit(
        self,
        node: str,
        *,
        nodes: str = '',
        command_id: str = '',
        debug: bool = False,
    ) -> status.ExitStatus:
        """Admit a control node whose disk was replaced, after its removal.

        Example: apricotthread voter remove north-1, then apricotthread
        voter admit north-1

        :param node: the control node
        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param command_id: the id of a command that is sent again
        :param debug: print tracebacks
        """
        return self._change_voter(node, nodes, command_id, admit=True)

    def voter_remove(
        self,
        node: str,
        *,
        nodes: str = '',
        command_id: str = '',
        debug: bool = False,
    ) -> status.ExitStatus:
        """Remove a control node whose disk is lost from the voters.

        Example: apricotthread voter remove north-1

        :param node: the control node
        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param command_id: the id of a command that is sent again
        :param debug: print tracebacks
        """
        return self._change_voter(node, nodes, command_id, admit=False)

    def _change_voter(
        self, node: str, nodes: str, command_id: str, *, admit: bool
    ) -> status.ExitStatus:
        options = core.ChangeOptions(command_id=command_id)
        return self._run(
            core.change_voter(
                self._context, nodes, node, admit=admit, options=options
            )
        )

    def quarantine_show(
        self, *, nodes: str = '', json: bool = False, debug: bool = False
    ) -> status.ExitStatus:
        """Print the parts of prompts that have crashed endpoints.

        Example: apricotthread quarantine show --nodes 10.0.0.4:9100

        :param nodes: metrics ports of entries to try in turn, IP:PORT,IP:PORT
        :param json: print JSON for programs
        :param debug: print tracebacks
        """
        return self._run(core.show_quarantine(self._context, nodes, json))

    def quarantine_release(
        self, part: str, *, nodes: str = '', debug: bool = False
    ) -> status.ExitStatus:
        """Let requests with a part of prompts through again, everywhere.

        Example: apricotthread quarantine release 91bd3f06

        :param part: the id of the part, as `quarantine show` prints it
        :param nodes: metrics ports of entries to try in turn, IP:PORT,IP:PORT
        :param debug: print tracebacks
        """
        return self._run(core.release_part(self._context, nodes, part))

    def show_status(
        self, *, nodes: str = '', json: bool = False, debug: bool = False
    ) -> status.ExitStatus:
        """Print nodes, services and groups as one node sees them.

        Example: apricotthread status --nodes 10.0.0.1:7003,10.0.1.1:7003

        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param json: print JSON for programs
        :param debug: print tracebacks
        """
        return self._run(core.show_status(self._context, nodes, json))

    def show_groups(
        self, *, nodes: str = '', json: bool = False, debug: bool = False
    ) -> status.ExitStatus:
        """Print the groups and the VMs that each holds.

        Example: apricotthread groups

        :param nodes: operator ports to try in turn, IP:PORT,IP:PORT
        :param json: print JSON for programs
        :param debug: print tracebacks
        """
        return self._run(core.show_groups(self._context, nodes, json))

    def show_audit(
        self,
        *,
        row: str = '',
        by: str = '',
        since: float = 0.0,
        nodes: str = '',
        json: bool = False,
        debug: bool = False,
    ) -> status.ExitStatus:
        """Print who changed what, when, from where, and the result.

        Example: apricotthread audit --row account:acme --by thu

        :param row: only rows whose key contains this text
        :param by: only changes of this operator
        :param since: only from this time on, in seconds since 1970
        :param nodes: operator ports of control nodes, IP:PORT,IP:PORT
        :param json: print JSON lines for programs
        :param debug: print tracebacks
        """
        return self._run(
            core.show_audit(
                self._context, nodes, json, row=row, by=by, since=since
            )
        )

    def explain_request(
        self, request_id: str, *files: str, debug: bool = False
    ) -> status.ExitStatus:
        """Print the decisions about one request, with related fleet events.

        Example: apricotthread explain 9c41d07be2a35f68 north-1.log

        :param request_id: the id of the request, as its caller sent it
        :param files: log files of nodes; standard input if none is given
        :param debug: print tracebacks
        """
        return self._run(
            core.explain_request(self._context, request_id, list(files))
        )

    def settings_check(
        self, file: str, *, debug: bool = False
    ) -> status.ExitStatus:
        """Check a settings file, and print every wrong line.

        Example: apricotthread settings check a1.ini

        :param file: the INI file of a node
        :param debug: print tracebacks
        """
        return self._run(core.check_settings(self._context, file))
