"""New flows a second through a balancer and two agents, over loopback.

Every packet is the first of its flow: a request of a caller not seen before.
The servers answer at once, so that what is measured is the system's own cost.
``python -m asv_bench.flow_rate``.
"""

import argparse
import multiprocessing
import pathlib

import attrs

from asv_bench import fitting, output
from asv_bench.flow_processes import (
    AgentCount,
    AgentRun,
    run_agent,
    run_fabric,
    run_server,
)
from asv_bench.packet_processes import (
    BalancerCount,
    BalancerRun,
    Load,
    run_balancer,
)

AGENTS = 2
SECONDS = 3.0
SLACK = 2.0
RATES = (1000, 2000, 4000, 8000)
READ = b'\x44\x01\x12\x34abcd\xb7reports'
SUBMIT = b'\x44\x02\x12\x34abcd\xb8readings\xffplate=31'
CONTENT = 0x45
NOT_RUN = 0xA3
UNKNOWN = 0xA4
MICRO = 1e6


@attrs.frozen
class FlowCost:
    """What one offered rate gave.

    Parameters
    ----------
    offered : float
        New flows a second.
    answered, not_run, unknown : float
        Fractions of what was sent.
    balancer : BalancerCount
        What the balancer did.
    agents : tuple of AgentCount
        What the agents did.
    """

    offered: float
    answered: float
    not_run: float
    unknown: float
    balancer: BalancerCount
    agents: tuple[AgentCount, ...]

    @property
    def agent_us(self) -> float:
        """Processor microseconds of the agents for each request."""
        total = sum(agent.cpu_seconds for agent in self.agents)
        return total / max(self.offered * SECONDS, 1) * MICRO


def measure(payload: bytes, rate: float, *, profile: bool = False) -> FlowCost:
    """Offer a rate of new flows for a while."""
    context = multiprocessing.get_context('spawn')
    seconds = SECONDS + SLACK
    whole = 2 * seconds
    processes = []
    pipes = []

    def start(target: object, *arguments: object) -> None:
        ours, theirs = context.Pipe()
        process = context.Process(target=target, args=(*arguments, theirs))
        process.start()
        theirs.close()
        processes.append(process)
        pipes.append(ours)

    for number in range(AGENTS):
        server = context.Process(target=run_server, args=(number, whole))
        server.start()
        processes.append(server)
        start(run_agent, AgentRun(number, AGENTS, SECONDS, profile))
    start(run_balancer, BalancerRun(seconds + 1, agents=AGENTS))
    for pipe in pipes:
        pipe.recv()
    start(
        run_fabric, Load(int(rate * seconds) + 1, payload, seconds, pace=rate)
    )
    *agents, balancer, fabric = [pipe.recv() for pipe in pipes]
    for process in processes:
        process.terminate()
        process.join()
    codes = fabric.answers_by_code
    return FlowCost(
        offered=rate,
        answered=codes[CONTENT] / fabric.sent,
        not_run=codes[NOT_RUN] / fabric.sent,
        unknown=codes[UNKNOWN] / fabric.sent,
        balancer=balancer,
        agents=tuple(agents),
    )


def main() -> None:
    """Measure reads and submissions at several rates."""
    parser = argparse.ArgumentParser(prog='python -m asv_bench.flow_rate')
    parser.add_argument('--json', type=pathlib.Path)
    parser.add_argument('--profile', action='store_true')
    parser.add_argument('--repeats', type=int, default=1)
    flags = parser.parse_args()
    report = output.Report('flow_rate')
    for title, payload in (('reads', READ), ('submissions', SUBMIT)):
        if flags.profile:
            cost = measure(payload, RATES[1], profile=True)
            print(title, cost.agents[0].profile)
            continue
        rows = []
        for rate in RATES:
            costs = [measure(payload, rate) for _ in range(flags.repeats)]
            rows.append(_row(rate, costs))
        report.add(f'new flows: {title}', rows)
    if not flags.profile:
        report.finish(flags.json)


def _row(rate: float, costs: list[FlowCost]) -> dict[str, object]:
    names = ('answered', 'not_run', 'unknown', 'agent_us')
    levels = {
        name: fitting.spread([getattr(cost, name) for cost in costs])
        for name in names
    }
    return {
        'offered a second': rate,
        **levels,
        'balancer us a packet': fitting.spread(
            [cost.balancer.cpu_us for cost in costs]
        ),
        'agent resident KB': max(cost.agents[0].rss_kb for cost in costs),
    }


if __name__ == '__main__':
    main()
