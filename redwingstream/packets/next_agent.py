"""Selection of the agent that a new flow is passed on to."""

from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent
from redwingstream.packets.agent_context import AgentContext
from redwingstream.packets.envelopes import OFFER_UNIT, Envelope
from redwingstream.packets.flow import Address, FlowId
from redwingstream.packets.ranking import rank_agents

MAX_AGENTS_TRIED = 4
"""Maximum number of agents that decide on a new flow.  With random loads the
least loaded of four is within a tenth of the best of all, and each additional
agent delays the caller by up to a millisecond."""

MAX_AGENTS_IN_ZONE = 2
"""Agents of a zone that decide on a new flow before one of another zone does.
If all agents that decide were of one zone, no flow would leave a zone with more
agents than that, however busy it is."""

MAX_ZONE_WAIT = 0.04
"""Expected wait in seconds up to which a new flow stays in its availability
zone.  In another zone each byte of the flow is transferred between zones."""


def next_target(
    context: AgentContext, flow: FlowId, passed: Envelope
) -> Address:
    """Return the next agent to try, or the best one if none is left.

    Parameters
    ----------
    context : AgentContext
        State of the agent that passes the flow on.
    flow : FlowId
        The flow.
    passed : Envelope
        Envelope with the offers so far, this agent's included.
    """
    following = _next_agent(context, flow, passed)
    if following is None:
        return passed.best
    is_elsewhere = following.zone != context.location.zone
    if is_elsewhere and not _is_zone_busy(passed):
        return passed.best
    return following.address


def _next_agent(
    context: AgentContext, flow: FlowId, passed: Envelope
) -> Agent | None:
    if passed.hops >= MAX_AGENTS_TRIED:
        return None
    usable = _usable_agents(context, passed)
    own_zone = context.location.zone
    if passed.hops >= MAX_AGENTS_IN_ZONE and _is_zone_busy(passed):
        elsewhere = [agent for agent in usable if agent.zone != own_zone]
        usable = elsewhere or usable
    order = rank_agents(flow, usable, own_zone)
    return order[0] if order else None


def _is_zone_busy(passed: Envelope) -> bool:
    return passed.offer * OFFER_UNIT > MAX_ZONE_WAIT


def _usable_agents(context: AgentContext, passed: Envelope) -> list[Agent]:
    # Agents of a zone that is out cannot open the flow and would use up one of
    # the few attempts.
    zones_out = context.gate.rules.zones_out
    return [
        agent
        for agent in context.peers()
        if agent.address not in passed.visited
        and agent.readiness is Readiness.READY
        and not agent.is_silent
        and agent.zone not in zones_out
    ]
