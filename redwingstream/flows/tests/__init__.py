"""Tests of established flows."""
