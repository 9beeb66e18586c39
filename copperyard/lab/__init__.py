"""The laboratory: stand-ins, faults, viewers, the auditor, rehearsals. All of it is simulated."""
