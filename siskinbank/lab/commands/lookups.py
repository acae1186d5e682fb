"""``siskinbank lab lookups``: ways to find the owner of a moved flow."""

from siskinbank.lab.experiment import make_command
from siskinbank.lab.lookups import measure_lookups

__all__ = ('command',)

command = make_command(
    'lookups',
    'Compare ways to find the owner of a moved flow.',
    measure_lookups,
)
