"""Who carries out the effects of the decision objects."""

from collections.abc import Callable

from redwingstream.flows.effects import UpstreamEffect
from redwingstream.placement.effects import Effect

PerformEffects = Callable[[list[Effect], float], None]
"""Carries out what a keeper of buckets asks for, at a time."""

Perform = Callable[[list[UpstreamEffect], float], None]
"""Carries out what the server's side asks for, at a time."""
