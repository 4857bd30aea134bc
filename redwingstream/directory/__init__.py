"""Where agents and control instances are, as heard lately.

Nothing here is agreed on or stored: an agent says what it is, again and again,
to every control instance, and whoever forwards packets asks them in turn.

Modules
-------
messages
    What is said and asked.
book
    A control instance's record of the agents.
view
    What a process that forwards packets makes of several such records.
inquiry
    Whom a process asks next, and what it makes of the answer.
controls
    Which control instances run.
"""
