"""The command line: one module per command, imported on first use."""

import importlib
import pkgutil
import sys

import click

from siskinbank import __version__

__all__ = ('LazyGroup', 'main')

_EXIT_USAGE = 2


class LazyGroup(click.Group):
    """A group whose commands are the modules of a package.

    Each module defines its command as the attribute ``command``.
    """

    def __init__(self, package: str, *args: object, **kwargs: object) -> None:
        """Create a group with the commands in the modules of ``package``."""
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self._package = package

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        path = importlib.import_module(self._package).__path__
        names = {
            module.name.replace('_', '-')
            for module in pkgutil.iter_modules(path)
            if not module.name.startswith('_')
        }
        return sorted(names | set(super().list_commands(ctx)))

    def get_command(
        self,
        ctx: click.Context,
        cmd_name: str,
    ) -> click.Command | None:
        """Import and return a command, or return None if there is none."""
        if cmd_name not in self.list_commands(ctx):
            return None
        known = super().get_command(ctx, cmd_name)
        if known is not None:
            return known
        name = cmd_name.replace('-', '_')
        module = importlib.import_module(f'{self._package}.{name}')
        loaded: click.Command = module.command
        return loaded


@click.group(
    cls=LazyGroup,
    package='siskinbank.commands',
    context_settings={'help_option_names': ['-h', '--help']},
)
@click.version_option(__version__, prog_name='siskinbank')
def _cli() -> None:
    """Run and inspect a layer-4 load balancer.

    \b
    On each entry instance:      siskinbank entry ...
    Beside each upstream:        siskinbank sidecar ...
    Before publishing:           siskinbank check base.yaml site.yaml
    To inspect a process:        siskinbank status ADDRESS
    Demo on loopback:            siskinbank lab demo

    Each option can also be set by an environment variable, which is listed in
    the help of the command.
    """


def _command_path(error: click.ClickException) -> str:
    """Return the path of the command that failed."""
    context = getattr(error, 'ctx', None)
    return context.command_path if context else 'siskinbank'


def main() -> None:
    """Run the command line and exit."""
    try:
        code = _cli.main(standalone_mode=False)
    except click.exceptions.Abort:
        sys.exit(1)
    except click.exceptions.NoArgsIsHelpError as error:
        error.show()
        sys.exit(error.exit_code)
    except click.ClickException as error:
        click.echo(
            f'{_command_path(error)}: {error.format_message()}', err=True
        )
        sys.exit(error.exit_code)
    sys.exit(code if isinstance(code, int) else 0)
