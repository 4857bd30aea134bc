"""Tests of `redwingstream.eventlog`."""
