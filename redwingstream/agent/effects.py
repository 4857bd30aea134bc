"""Who carries out the effects of the decision objects."""

from collections.abc import Callable

from redwingstream.flows.effects import UpstreamEffect
from redwingstream.placement.effects import Effect

PerformKeeperEffects = Callable[[list[Effect], float], None]
"""Carries out what a keeper of buckets asks for, at a time."""

PerformServerEffects = Callable[[list[UpstreamEffect], float], None]
"""Carries out what the server's side asks for, at a time."""
