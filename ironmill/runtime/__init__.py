"""What every program of the project runs on.

Owns the scheduler of greenlets, timers, the schedule of garbage collections, the classification of system
call errors, logging and the lifecycle of a process. Imports only ``ironmill.errors`` of the project.
"""
