"""Decision logic of the tanagerreach proxy fleet, without input and output.

Callers pass the time as ``now_s`` (seconds of CLOCK_BOOTTIME in their process) and randomness as
:class:`random.Random`. Import from the public modules ``messages``, ``rights``, ``traffic``,
``config``, ``membership`` and ``operator_responses``.
"""
