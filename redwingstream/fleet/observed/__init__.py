"""Metrics that the roles export, in one module for each role.

A process imports only the module of its own role.
"""
