"""Logger that only counts the requests refused by the HTTP parser."""

import logging

from aiohttp.http import HttpProcessingError

from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.reasons import Refusal

__all__ = ('make_parse_logger',)


class _ParseHandler(logging.Handler):
    def __init__(self, process: ProcessContext) -> None:
        super().__init__(logging.ERROR)
        self._process = process

    def emit(self, record: logging.LogRecord) -> None:
        """Count a request that the parser refused; log any other failure."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, HttpProcessingError):
            self._process.metrics.count(Refusal.malformed)
        elif isinstance(error, Exception):
            self._process.log.write_failure(error)


def make_parse_logger(process: ProcessContext) -> logging.Logger:
    """Return a logger for an HTTP server, without a parent logger."""
    logger = logging.Logger('siskinbank.http', logging.ERROR)
    logger.addHandler(_ParseHandler(process))
    return logger
