"""Runtime shared by all programs of the project.

Contains the greenlet scheduler, timers, the garbage collection schedule, the classification of system call
errors, logging and the lifecycle of a process. Imports only ``ironmill.errors`` of the project.
"""
