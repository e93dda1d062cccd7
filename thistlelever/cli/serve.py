"""`thistlelever serve`: run one front until it is told to stop."""

from __future__ import annotations

import logging
import signal
import sys

import click

from thistlelever.cli.common import (
    EXIT_FAILURE,
    exit_with_error,
    load_config,
    load_operator_file,
    operator_option,
    read_operator_file,
)
from thistlelever.ground.log import LibraryLogHandler, Log
from thistlelever.ground.without_tls import leave_out_tls


@click.command()
@operator_option
def serve(operator: str | None) -> None:
    """Serve as one front; BALANCER_CONFIG names the configuration."""
    # A SIGHUP before its handler is set would end the process, and one after the configuration was read would
    # be lost. Blocked from here on, it becomes a reload once the front is up.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    if not operator:
        # Components of the operator file may use it.
        leave_out_tls()
    import asyncio

    from thistlelever.lifecycle.run import serve as run
    from thistlelever.lifecycle.start_times import StartTimes

    start_times = StartTimes()
    start_times.finish_stage("loaded")
    config = load_config()
    operator_file = load_operator_file(operator, config)
    start_times.finish_stage("configured")
    log = Log(config.name)
    logging.basicConfig(handlers=[LibraryLogHandler(log)], level=logging.WARNING)
    reread_operator = (lambda: read_operator_file(operator)) if operator else None
    try:
        sys.exit(asyncio.run(run(config, log, operator_file, reread_operator, start_times)))
    except OSError as error:
        exit_with_error(error, EXIT_FAILURE)
