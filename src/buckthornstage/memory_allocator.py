"""Tuning of the C library's allocator for a process that buffers many large bodies."""

import ctypes

M_MMAP_THRESHOLD = -3  # malloc.h of glibc
MMAP_THRESHOLD_BYTES = 128 * 1024
"""The default. Setting it keeps it: otherwise the first large block that is freed raises it, up to
32 MB, and the next ones come from the heap, where buffers that grow side by side leave gaps."""


def tune() -> bool:
    """Gives each large block a mapping of its own, which is returned to the system when it is
    freed; False if the C library has no such setting."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) == 1
