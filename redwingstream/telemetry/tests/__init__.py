"""Tests of `redwingstream.telemetry`."""
