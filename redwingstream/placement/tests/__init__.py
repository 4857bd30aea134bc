"""Tests of placement, handoff and recording."""
