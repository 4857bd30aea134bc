"""What the roles show on their metrics address, a module for each role.

A process loads the module of its own role only.
"""
