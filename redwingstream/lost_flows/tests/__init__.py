"""Tests of `redwingstream.lost_flows`."""
