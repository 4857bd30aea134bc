"""Settings of the daemon's roles: flags and environment variables, checked.

Modules
-------
parsers
    Reads the text of one value.
reading
    How a setting is described, found and checked.
roles
    The settings of each role.
flags
    Settings as flags of a command line.
reference
    The page of the documentation that lists them.
"""
