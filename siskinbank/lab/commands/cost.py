"""``siskinbank lab cost``: cost of one packet and of one flow."""

from siskinbank.lab.cost import measure_cost
from siskinbank.lab.experiment import make_command

__all__ = ('command',)

command = make_command(
    'cost',
    'Time decisions, measure the state of flows and count control traffic.',
    measure_cost,
)
