"""The laboratory: simulated hosts and viewers, fault injection, the auditor and rehearsals."""
