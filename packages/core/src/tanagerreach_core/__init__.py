"""Decision modules of the tanagerreach proxy fleet, free of input and output.

Time is passed in as ``now_s`` (seconds of CLOCK_BOOTTIME of the own process) and randomness as
:class:`random.Random`. Import from the public modules ``messages``, ``rights``, ``traffic``,
``config``, ``membership`` and ``operator_responses``.
"""
