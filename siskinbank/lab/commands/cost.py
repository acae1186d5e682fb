"""``siskinbank lab cost``: what one packet and one flow cost."""

from siskinbank.lab.cost import measure_cost
from siskinbank.lab.experiment import make_command

__all__ = ('command',)

command = make_command(
    'cost',
    'Time decisions, weigh the state of flows, count control traffic.',
    measure_cost,
)
