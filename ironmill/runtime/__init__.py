"""What every program of the project runs on.

Owns the scheduler of greenlets, timers, the schedule of garbage collections, the classes of system call
errors, logging and the states of a process. Imports nothing else of the project.
"""
